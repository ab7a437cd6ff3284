/**
 * Counts calls that hang longer than the old version usually takes.
 *
 * A hang is evidence before its time-out, which may be many seconds away.
 * @module
 */
import type { MonotonicMs } from "../core/types.ts";
import { countsOf, sidesOf } from "./count_call.ts";
import { LATENCY_EDGES_MS, Side } from "./messages.ts";
import type { BegunCall, RolloutState, Track } from "./state.ts";

/** Share of the old version's answers that come within its high quantile. */
const highQuantile = 0.99;
/** Answers of the old version needed before its quantile is used. */
const minOldAnswers = 50;
/** Limit while the old version's latency is not known, in milliseconds. */
const unknownLimitMs = 2_048;
const minLimitMs = 64;

/** Counts each call once, at the moment that it is seen to be overdue. */
export function countOverdue(state: RolloutState, now: MonotonicMs) {
  for (const call of state.inFlight.values()) {
    if (call.isOverdue) continue;
    const sides = sidesOf(state, call);
    const isOverdue = sides.some(({ track }) =>
      now - call.at > limitMs(track, call)
    );
    if (!isOverdue) continue;
    call.isOverdue = true;
    for (const { track, side } of sides) {
      const counts = countsOf(track.local, side, call.route);
      counts.calls++;
      counts.overdue++;
    }
  }
}

function limitMs(track: Track, call: BegunCall): number {
  const old = track.local.get(`${Side.Old} ${call.route}`);
  const answers = old?.buckets.reduce((sum, count) => sum + count, 0) ?? 0;
  if (old === undefined || answers < minOldAnswers) return unknownLimitMs;
  let seen = 0;
  const bucket = old.buckets.findIndex((count) => {
    seen += count;
    return seen >= highQuantile * answers;
  });
  // Twice the quantile's upper bound keeps the old version's tail out.
  return Math.max(minLimitMs, 2 * (LATENCY_EDGES_MS[bucket] ?? Infinity));
}
