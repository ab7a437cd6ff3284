/**
 * Keeps the newest records and digests for peers that lack only these.
 * @module
 */
import type { DistributionEvent, DistributionState } from "./state.ts";

/** Limit on the characters of record bodies kept. */
const MAX_TAIL_LENGTH = 1024 * 1024;
/** Limit on the kept digests of the state at recent offsets. */
const MAX_RECENT_DIGESTS = 256;

/** Records the new state after a fold. A loaded snapshot clears the tail. */
export function keepTail(
  state: DistributionState,
  event: Extract<DistributionEvent, { type: "folded" }>,
) {
  const { next, digest, records } = event;
  const previous = state.next;
  state.next = next;
  state.digest = digest;
  if (records.length === 0) state.isDiverged = false;
  if (records[0]?.offset !== previous) clearTail(state);
  for (const record of records) {
    state.tail.push(record);
    state.tailLength += record.body.length;
  }
  while (state.tailLength > MAX_TAIL_LENGTH && state.tail.length > 1) {
    state.tailLength -= state.tail.shift()?.body.length ?? 0;
  }
  state.recentDigests.set(next, digest);
  const [oldest] = state.recentDigests.keys();
  if (state.recentDigests.size > MAX_RECENT_DIGESTS && oldest !== undefined) {
    state.recentDigests.delete(oldest);
  }
}

function clearTail(state: DistributionState) {
  state.tail = [];
  state.tailLength = 0;
  state.recentDigests.clear();
}
