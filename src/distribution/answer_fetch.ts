/**
 * Answers a peer that asks for what it missed.
 * @module
 */
import type { LogRecord } from "../config_log/messages.ts";
import type { NodeId, Offset } from "../core/types.ts";
import type { DistributionEffect, DistributionState } from "./state.ts";

const maxPageLength = 64 * 1024;
const maxPageRecords = 200;

/** Options of `answerFetch`. */
export interface AnswerFetchOptions {
  readonly to: NodeId;
  readonly from: Offset;
  /** Digest of the asker's state at `from`, empty when it knows none. */
  readonly digest: string;
}

/**
 * Answers with one page of records, so that a returner pays for what it
 * missed; with a snapshot when the tail starts later or the asker's state is
 * another than this node's at the same offset.
 */
export function answerFetch(
  state: DistributionState,
  opts: AnswerFetchOptions,
): readonly DistributionEffect[] {
  const { to, from, digest } = opts;
  if (from >= state.next) return [];
  const first = state.tail[0]?.offset ?? Infinity;
  const mark = state.marks.get(from);
  const isOther = digest !== "" && mark !== undefined && mark !== digest;
  if (from < first || isOther) return answerSnapshot(state, to);
  const records = handlePage(state.tail, from - first);
  return [{
    type: "send",
    to,
    message: { type: "distribution/page", records, head: state.next },
  }];
}

/** Answers with a snapshot, or not at all when too many were sent just now. */
export function answerSnapshot(
  state: DistributionState,
  to: NodeId,
): readonly DistributionEffect[] {
  if (state.snapshotsLeft === 0) return [];
  state.snapshotsLeft--;
  return [{ type: "send-snapshot", to }];
}

/** Records from an index on, at least one and no more than a page. */
export function handlePage(
  tail: readonly LogRecord[],
  start: number,
): LogRecord[] {
  const page: LogRecord[] = [];
  let length = 0;
  for (let index = start; index < tail.length; index++) {
    const record = tail[index];
    if (record === undefined) break;
    length += record.body.length;
    const isFull = page.length >= maxPageRecords || length > maxPageLength;
    if (isFull && page.length > 0) break;
    page.push(record);
  }
  return page;
}
