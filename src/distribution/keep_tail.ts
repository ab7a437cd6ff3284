/**
 * Keeps the newest records and digests for peers that are a little behind.
 * @module
 */
import type { DistributionEvent, DistributionState } from "./state.ts";

/** Characters of records kept. */
const maxTailLength = 1024 * 1024;
const maxMarks = 256;

/** Notes what the fold took. A snapshot starts the tail afresh. */
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
  while (state.tailLength > maxTailLength && state.tail.length > 1) {
    state.tailLength -= state.tail.shift()?.body.length ?? 0;
  }
  state.marks.set(next, digest);
  const [oldest] = state.marks.keys();
  if (state.marks.size > maxMarks && oldest !== undefined) {
    state.marks.delete(oldest);
  }
}

function clearTail(state: DistributionState) {
  state.tail = [];
  state.tailLength = 0;
  state.marks.clear();
}
