/**
 * Measures how far the event loop is behind.
 * @module
 */
import type { MonotonicMs } from "../core/types.ts";

/** Time between two looks at the clock, in milliseconds. */
const intervalMs = 50;

/** Options of `createLagMeter`. */
export interface CreateLagMeterOptions {
  readonly now: () => MonotonicMs;
}

export interface LagMeter {
  /** Time by which work that is due now is late, in milliseconds. */
  lagMs(): number;
  close(): void;
}

/** Starts measuring. */
export function createLagMeter(opts: CreateLagMeterOptions): LagMeter {
  const { now } = opts;
  let dueAt = now() + intervalMs;
  let lastLagMs = 0;
  const timer = setInterval(() => {
    lastLagMs = Math.max(0, now() - dueAt);
    dueAt = now() + intervalMs;
  }, intervalMs);
  return {
    // What is read at the end of a long turn may have come at the start of the
    // turn before.
    lagMs: () => lastLagMs + Math.max(0, now() - dueAt),
    close: () => clearInterval(timer),
  };
}
