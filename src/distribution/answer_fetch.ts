/**
 * Answers a peer that requests records or a snapshot that it missed.
 * @module
 */
import type { LogRecord } from "../config_log/messages.ts";
import type { NodeId, Offset } from "../core/types.ts";
import type { DistributionEffect, DistributionState } from "./state.ts";

/** Maximum number of characters of record bodies in one page. */
const MAX_PAGE_LENGTH = 64 * 1024;
/** Maximum number of records in one page. */
const MAX_PAGE_RECORDS = 200;

/** Options of `answerFetch`. */
export interface AnswerFetchOptions {
  readonly to: NodeId;
  readonly from: Offset;
  /** Digest of the peer's state at `from`, empty if it has none. */
  readonly digest: string;
}

/**
 * Answers with one page of records, so that the traffic of a returning peer
 * grows only with what it missed. Answers with a snapshot if the kept tail
 * starts after `from`, or if the peer's digest at `from` differs from this
 * node's digest there.
 */
export function answerFetch(
  state: DistributionState,
  opts: AnswerFetchOptions,
): readonly DistributionEffect[] {
  const { to, from, digest } = opts;
  if (from >= state.next) return [];
  const first = state.tail[0]?.offset ?? Infinity;
  const ownDigest = state.recentDigests.get(from);
  const isDiverged = digest !== "" && ownDigest !== undefined &&
    ownDigest !== digest;
  if (from < first || isDiverged) return answerSnapshot(state, to);
  const records = slicePage(state.tail, from - first);
  return [{
    type: "send",
    to,
    message: { type: "distribution/page", records, head: state.next },
  }];
}

/** Answers with a snapshot. Sends nothing if the limit per tick is reached. */
export function answerSnapshot(
  state: DistributionState,
  to: NodeId,
): readonly DistributionEffect[] {
  if (state.snapshotsLeft === 0) return [];
  state.snapshotsLeft--;
  return [{ type: "send-snapshot", to }];
}

/**
 * Returns one page of records from an index on. The first record is included
 * even if it is longer than a page.
 */
export function slicePage(
  tail: readonly LogRecord[],
  start: number,
): LogRecord[] {
  const page: LogRecord[] = [];
  let length = 0;
  for (let index = start; index < tail.length; index++) {
    const record = tail[index];
    if (record === undefined) break;
    length += record.body.length;
    const isFull = page.length >= MAX_PAGE_RECORDS || length > MAX_PAGE_LENGTH;
    if (isFull && page.length > 0) break;
    page.push(record);
  }
  return page;
}
