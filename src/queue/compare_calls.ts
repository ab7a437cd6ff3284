/**
 * The order in which waiting calls start.
 * @module
 */
import type { MonotonicMs } from "../core/types.ts";
import { canMeetObjective } from "./estimate.ts";
import type { QueuedCall, QueueState } from "./state.ts";

/**
 * Handicap of a rank of urgency, in milliseconds of arrival. A strict order
 * would starve the least urgent calls for as long as an overload lasts.
 */
const rankMs = 50;

/**
 * Negative when `a` starts before `b`.
 *
 * A call made by a running call goes first: its parent holds a slot, possibly
 * of this very service, until it is answered. Then come calls that can still
 * meet their aim, by arrival and urgency, so that a burst costs the least urgent
 * calls first. The end of the aim does not count: under an overload, calls with
 * a short aim would start before those with a long one until the end. Calls
 * that have missed their aim are answered in the gaps, or every call behind
 * them would miss its own. Of those the newest goes first: where runs have grown
 * longer than the aim, all calls are late, and the oldest first would make each
 * wait for its deadline.
 */
export function compareCalls(
  state: QueueState,
  a: QueuedCall,
  b: QueuedCall,
  now: MonotonicMs,
): number {
  if (a.isNested !== b.isNested) return a.isNested ? -1 : 1;
  if (a.isNested) return a.offeredAt - b.offeredAt;
  const isTimely = canMeetObjective(state, a, now);
  if (isTimely !== canMeetObjective(state, b, now)) return isTimely ? -1 : 1;
  return isTimely ? rankOf(a) - rankOf(b) : b.offeredAt - a.offeredAt;
}

function rankOf(call: QueuedCall): MonotonicMs {
  return call.offeredAt + call.urgency * rankMs;
}
