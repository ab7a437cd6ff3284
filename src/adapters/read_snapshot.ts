/**
 * Reads the newest complete snapshot from the log, page by page from the end.
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import type { EncodedSnapshot } from "../config_log/encode_snapshot.ts";
import {
  createSnapshotSearch,
  findSnapshot,
} from "../config_log/find_snapshot.ts";
import { CONFIG_STREAM } from "../config_log/messages.ts";
import type { LagoonError } from "../core/errors.ts";
import type { Offset } from "../core/types.ts";
import type { LogClient, LogPage } from "./log_client.ts";

/** Records requested per page. The log returns at most this many per page. */
const PAGE_RECORDS = 500;

/** Options of `readSnapshot`. */
export interface ReadSnapshotOptions {
  readonly log: LogClient;
  /** Called for each corrupt snapshot that is skipped. */
  readonly onSkipped: (err: LagoonError) => void;
}

/**
 * Returns the newest complete snapshot. Fails with `LAGOON_SNAPSHOT_NONE`, or
 * with the error of the log client.
 */
export async function readSnapshot(
  opts: ReadSnapshotOptions,
): Promise<Result<EncodedSnapshot, LagoonError>> {
  const { log, onSkipped } = opts;
  const search = createSnapshotSearch();
  const ends = await log.bounds(CONFIG_STREAM);
  if (ends.isErr()) return err(ends.error);
  let { oldest, head: before } = ends.value;
  while (before > oldest) {
    const from = Math.max(oldest, before - PAGE_RECORDS);
    const page = await readRange(log, from, before);
    if (page.isErr()) return err(page.error);
    oldest = Math.max(oldest, page.value.oldest);
    const { records } = page.value;
    const snapshot = findSnapshot({ search, records, oldest, onSkipped });
    if (snapshot !== undefined) return ok(snapshot);
    before = from;
  }
  return err(noSnapshot(oldest, ends.value.head));
}

/**
 * Reads the records from `from` up to, not including, `before`. Skips records
 * that are past retention.
 */
async function readRange(
  log: LogClient,
  from: Offset,
  before: Offset,
): Promise<Result<LogPage, LagoonError>> {
  const records: LogPage["records"][number][] = [];
  let next = from;
  let oldest = 0;
  while (next < before) {
    const page = await log.read({
      stream: CONFIG_STREAM,
      from: next,
      waitMs: 0,
    });
    if (page.isErr()) {
      const bounds = await log.bounds(CONFIG_STREAM);
      if (bounds.isErr()) return err(page.error);
      // Retention removed these records while the page was being read.
      if (bounds.value.oldest <= next) return err(page.error);
      next = oldest = bounds.value.oldest;
      records.length = 0;
      continue;
    }
    if (page.value.records.length === 0) break;
    oldest = Math.max(oldest, page.value.oldest);
    records.push(...page.value.records.filter((one) => one.offset < before));
    next = (page.value.records.at(-1)?.offset ?? next) + 1;
  }
  return ok({ records, oldest, head: before });
}

function noSnapshot(oldest: Offset, head: Offset): LagoonError {
  return {
    code: "LAGOON_SNAPSHOT_NONE",
    step: `look for a snapshot from offset ${oldest} to ${head} of the log`,
    message:
      "no complete snapshot connects to the records that the log still keeps",
    hint:
      "Keep a node running that has the state: others can load it from there.",
  };
}
