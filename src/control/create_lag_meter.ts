/**
 * Measures the delay of the event loop.
 * @module
 */
import type { MonotonicMs } from "../core/types.ts";

/** Interval of the timer whose delay is measured, in milliseconds. */
const CHECK_INTERVAL_MS = 50;

/** Options of `createLagMeter`. */
export interface CreateLagMeterOptions {
  readonly now: () => MonotonicMs;
}

export interface LagMeter {
  /**
   * Longest time for which a message or timer that is handled now may have
   * waited, in milliseconds.
   */
  lagMs(): number;
  close(): void;
}

/** Starts a lag meter, which measures until it is closed. */
export function createLagMeter(opts: CreateLagMeterOptions): LagMeter {
  const { now } = opts;
  let dueAt = now() + CHECK_INTERVAL_MS;
  let lastLagMs = 0;
  const timer = setInterval(() => {
    lastLagMs = Math.max(0, now() - dueAt);
    dueAt = now() + CHECK_INTERVAL_MS;
  }, CHECK_INTERVAL_MS);
  return {
    // Adds the delays of the previous turn and of this one: what is read at the
    // end of a long turn may have arrived at the start of the turn before.
    lagMs: () => lastLagMs + Math.max(0, now() - dueAt),
    close: () => clearInterval(timer),
  };
}
