/**
 * Records in the folded state which snapshots are complete in the log.
 * @module
 */
import type { Offset } from "../core/types.ts";
import type { SnapshotRecord } from "./messages.ts";
import { accepted, type Outcome, refused } from "./outcome.ts";
import { type ConfigState, RefusalCode } from "./state.ts";

/** Limit on the incomplete snapshots tracked. The oldest is evicted first. */
export const MAX_SNAPSHOTS_BEGUN = 4;

/** Options of `foldSnapshot`. */
export interface FoldSnapshotOptions {
  readonly state: ConfigState;
  readonly writer: string;
  readonly record: SnapshotRecord;
  readonly offset: Offset;
}

/**
 * Counts a chunk of a snapshot. Its content is not kept, since this process has
 * already folded the records that the snapshot includes.
 */
export function foldSnapshot(opts: FoldSnapshotOptions): Outcome {
  const { state, record, offset } = opts;
  const { through, chunk, chunks } = record;
  // An offset in the future would delay every later snapshot: readers count the
  // records after the newest snapshot, and would find none.
  if (through >= offset || chunk >= chunks) {
    return refused(
      RefusalCode.Malformed,
      `snapshot through ${through}, chunk ${chunk} of ${chunks}, at ${offset}`,
    );
  }
  const key = `${opts.writer} ${record.hash}`;
  const found = state.snapshotsBegun.get(key)?.found ?? 0;
  if (found !== chunk) {
    state.snapshotsBegun.delete(key);
    return accepted(false);
  }
  if (found + 1 < chunks) {
    state.snapshotsBegun.set(key, { through, found: found + 1 });
    evictOldest(state.snapshotsBegun);
    return accepted(false);
  }
  state.snapshotsBegun.delete(key);
  state.snapshotThrough = Math.max(state.snapshotThrough, through);
  return accepted(false);
}

function evictOldest(begun: ConfigState["snapshotsBegun"]) {
  for (const key of begun.keys()) {
    if (begun.size <= MAX_SNAPSHOTS_BEGUN) return;
    begun.delete(key);
  }
}
