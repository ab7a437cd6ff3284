/**
 * Order in which waiting calls start.
 * @module
 */
import type { MonotonicMs } from "../core/types.ts";
import { canMeetObjective } from "./estimate.ts";
import type { QueuedCall, QueueState } from "./state.ts";

/**
 * Time by which a call is ordered as if it had arrived later, for each step of
 * lower urgency. A strict order by urgency would starve the least urgent calls
 * during an overload.
 */
const URGENCY_RANK_MS = 50;

/**
 * Returns a negative number when `a` starts before `b`.
 *
 * 1. Nested calls, oldest first. The parent of a nested call holds a slot,
 *    possibly of the same service, until the nested call is answered.
 * 2. Calls that can still meet their latency objective, by arrival and urgency,
 *    so that a burst delays the least urgent calls first. The time of the
 *    objective is not compared: during an overload, calls with a short
 *    objective would always start before those with a long one.
 * 3. Calls that are expected to miss their objective, the newest first. Started
 *    earlier, they would make the calls behind them miss theirs. If runs take
 *    longer than the objective, all calls are in this group, and with the oldest
 *    first each would wait until shortly before its deadline.
 */
export function compareCalls(
  state: QueueState,
  a: QueuedCall,
  b: QueuedCall,
  now: MonotonicMs,
): number {
  if (a.isNested !== b.isNested) return a.isNested ? -1 : 1;
  if (a.isNested) return a.arrivedAt - b.arrivedAt;
  const isTimely = canMeetObjective(state, a, now);
  if (isTimely !== canMeetObjective(state, b, now)) return isTimely ? -1 : 1;
  return isTimely ? startRank(a) - startRank(b) : b.arrivedAt - a.arrivedAt;
}

function startRank(call: QueuedCall): MonotonicMs {
  return call.arrivedAt + call.urgency * URGENCY_RANK_MS;
}
