/**
 * Counts calls that take longer than the old version usually takes.
 *
 * They are evidence before they time out, which may take many more seconds.
 * @module
 */
import type { MonotonicMs } from "../core/types.ts";
import { countsOf, findSides } from "./count_call.ts";
import { LATENCY_EDGES_MS, Side } from "./messages.ts";
import type { InFlightCall, RolloutState, TrackedRollout } from "./state.ts";

/** Quantile of the old version's latency from which the limit is computed. */
const HIGH_QUANTILE = 0.99;
/** Answers of the old version needed before its quantile is used. */
const MIN_OLD_ANSWERS = 50;
/** Limit while the old version's latency is unknown. */
const DEFAULT_LIMIT_MS = 2_048;
const MIN_LIMIT_MS = 64;

/** Counts each overdue call once, in the first tick past its limit. */
export function countOverdue(state: RolloutState, now: MonotonicMs) {
  for (const call of state.inFlight.values()) {
    if (call.isOverdue) continue;
    const sides = findSides(state, call);
    const isOverdue = sides.some(({ tracked }) =>
      now - call.at > computeLimitMs(tracked, call)
    );
    if (!isOverdue) continue;
    call.isOverdue = true;
    for (const { tracked, side } of sides) {
      const counts = countsOf(tracked.local, side, call.route);
      counts.calls++;
      counts.overdue++;
    }
  }
}

function computeLimitMs(tracked: TrackedRollout, call: InFlightCall): number {
  const old = tracked.local.get(`${Side.Old} ${call.route}`);
  const answers = old?.buckets.reduce((sum, count) => sum + count, 0) ?? 0;
  if (old === undefined || answers < MIN_OLD_ANSWERS) return DEFAULT_LIMIT_MS;
  let answersSoFar = 0;
  const bucket = old.buckets.findIndex((count) => {
    answersSoFar += count;
    return answersSoFar >= HIGH_QUANTILE * answers;
  });
  // The factor 2 excludes the tail of the old version's latency.
  return Math.max(MIN_LIMIT_MS, 2 * (LATENCY_EDGES_MS[bucket] ?? Infinity));
}
