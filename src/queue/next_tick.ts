/**
 * When the queue has to be checked again without any other event.
 * @module
 */
import type { MonotonicMs } from "../core/types.ts";
import { latestStartAt } from "./estimate.ts";
import type { QueueState } from "./state.ts";

/**
 * Bounds of the time until the next check, in milliseconds. Each wake-up of a
 * timer has a cost.
 */
const TICK_BOUNDS_MS = { shortest: 5, longest: 40 } as const;

/**
 * Returns the time until the next check, in milliseconds: at most the longest
 * tick, and early enough to refuse each waiting call while its caller can still
 * be told that it has not run. With checks every 40 ms alone, calls with short
 * runs would be found only after their deadline, when the caller can't know that
 * they have not run.
 */
export function nextTickMs(state: QueueState, now: MonotonicMs): number {
  let nextMs: number = TICK_BOUNDS_MS.longest;
  for (const call of state.waiting.values()) {
    nextMs = Math.min(nextMs, latestStartAt(state, call, now) - now);
  }
  return Math.max(TICK_BOUNDS_MS.shortest, Math.floor(nextMs) + 1);
}
