/**
 * Learns how long ago an order was given.
 * @module
 */
import type { MonotonicMs } from "../core/types.ts";
import type { Elapsed, TrafficShift } from "./state.ts";

/**
 * Takes another node's word. A node that was frozen or could not read the store
 * knows too late a time, so the earliest one counts. Guesses go by the time of
 * day, which may be seconds off, and are not passed on: a move that is led by too
 * early a time gives a bad version more than it may get.
 */
export function recordElapsed(
  move: TrafficShift,
  elapsed: Elapsed,
  now: MonotonicMs,
) {
  if (!elapsed.isKnown) return;
  const at = now - elapsed.ms;
  move.orderedAt = move.isTimeKnown ? Math.min(move.orderedAt, at) : at;
  move.isTimeKnown = true;
}

export function elapsedOf(move: TrafficShift, now: MonotonicMs): Elapsed {
  return { ms: now - move.orderedAt, isKnown: move.isTimeKnown };
}
