/**
 * Measures the request rate of a service.
 * @module
 */
import type { MonotonicMs } from "../core/types.ts";
import type { RequestRate } from "./state.ts";
import type { RunSums } from "./sum_runs.ts";

/**
 * Duration of a rate window. Several reports arrive in each window, so that a
 * single report has little influence on the rate.
 */
const RATE_WINDOW_MS = 1_500;

/** Options of `measureRate`. */
export interface MeasureRateOptions {
  readonly rate: RequestRate;
  readonly runs: RunSums;
  /** Time since the order, in milliseconds. */
  readonly elapsedMs: number;
  readonly now: MonotonicMs;
}

/**
 * Returns the runs per millisecond of the last window, or the mean since the
 * order if that is higher. Starts a new window when the current one is over.
 */
export function measureRate(opts: MeasureRateOptions): number {
  const { rate, elapsedMs, now } = opts;
  const runs = opts.runs.targetRuns + opts.runs.otherRuns;
  const passedMs = now - rate.since;
  if (passedMs >= RATE_WINDOW_MS) {
    rate.perMs = (runs - rate.runs) / passedMs;
    rate.runs = runs;
    rate.since = now;
  }
  return Math.max(rate.perMs, runs / Math.max(1, elapsedMs));
}
