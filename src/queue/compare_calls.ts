/**
 * The order in which waiting calls start.
 * @module
 */
import type { MonotonicMs } from "../core/types.ts";
import { canMeetAim } from "./estimate.ts";
import type { QueuedCall, QueueState } from "./state.ts";

/**
 * Negative when `a` starts before `b`.
 *
 * A call made by a running call goes first: its parent holds a slot, possibly
 * of this very service, until it is answered. Then come calls that can still
 * meet their aim, by urgency and by the end of their aim, so that a burst
 * costs the least urgent calls first. Calls that have missed their aim are
 * answered in the gaps, or every call behind them would miss its own. Of those
 * the newest goes first: where runs have grown longer than the aim, all calls
 * are late, and the oldest first would make each wait for its deadline.
 */
export function compareCalls(
  state: QueueState,
  a: QueuedCall,
  b: QueuedCall,
  now: MonotonicMs,
): number {
  if (a.isInner !== b.isInner) return a.isInner ? -1 : 1;
  if (!a.isInner) {
    const isTimely = canMeetAim(state, a, now);
    if (isTimely !== canMeetAim(state, b, now)) return isTimely ? -1 : 1;
    if (a.urgency !== b.urgency) return a.urgency - b.urgency;
    if (!isTimely) return b.aimAt - a.aimAt;
  }
  return a.aimAt - b.aimAt;
}
