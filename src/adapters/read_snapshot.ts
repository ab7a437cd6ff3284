/**
 * Reads the newest whole snapshot from the log, page by page from its end.
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

/** Records asked for at once. The log gives no more in one page. */
const pageRecords = 500;

/** Options of `readSnapshot`. */
export interface ReadSnapshotOptions {
  readonly log: LogClient;
  /** Told of each snapshot that is corrupt and skipped. */
  readonly onSkipped: (err: LagoonError) => void;
}

/** Fails with `LAGOON_SNAPSHOT_NONE`, or as the log does. */
export async function readSnapshot(
  opts: ReadSnapshotOptions,
): Promise<Result<EncodedSnapshot, LagoonError>> {
  const { log, onSkipped } = opts;
  const search = createSnapshotSearch();
  const ends = await log.bounds(CONFIG_STREAM);
  if (ends.isErr()) return err(ends.error);
  let { oldest, head: before } = ends.value;
  while (before > oldest) {
    const from = Math.max(oldest, before - pageRecords);
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

/** Reads up to, not including, an offset. What retention took is left out. */
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
      // Retention passed while the page was on its way.
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
    message: "no whole snapshot joins on to the records that are left",
    hint: "A node that still has the state can give it; keep one running.",
  };
}
