/**
 * Tracks the time since an order was given.
 * @module
 */
import type { MonotonicMs } from "../core/types.ts";
import type { Elapsed, TrafficShift } from "./state.ts";

/**
 * Merges another node's time since the order. A node that was frozen or could
 * not read the store saw the order too late, so the earliest time is kept.
 * Estimates (`isKnown` is false) are ignored: they derive from wall-clock time,
 * which may be off by seconds, and too early a time of the order gives a faulty
 * version more requests than the exposure limit allows.
 */
export function recordElapsed(
  shift: TrafficShift,
  elapsed: Elapsed,
  now: MonotonicMs,
) {
  if (!elapsed.isKnown) return;
  const at = now - elapsed.ms;
  shift.orderedAt = shift.isOrderTimeKnown ? Math.min(shift.orderedAt, at) : at;
  shift.isOrderTimeKnown = true;
}

export function elapsedOf(shift: TrafficShift, now: MonotonicMs): Elapsed {
  return { ms: now - shift.orderedAt, isKnown: shift.isOrderTimeKnown };
}
