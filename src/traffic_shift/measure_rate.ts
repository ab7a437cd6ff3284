/**
 * Measures how fast the requests of a service come.
 * @module
 */
import type { MonotonicMs } from "../core/types.ts";
import type { RequestRate } from "./state.ts";
import type { RunSums } from "./sum_runs.ts";

/** Reports come several times in a window, so one of them weighs little. */
const windowMs = 1_500;

/** Options of `measureRate`. */
export interface MeasureRateOptions {
  readonly rate: RequestRate;
  readonly runs: RunSums;
  /** Time since the first of the runs. */
  readonly elapsedMs: number;
  readonly now: MonotonicMs;
}

/**
 * Returns runs in a millisecond: those of the last window, or the mean where it
 * is higher. Begins a new window when the present one is over.
 */
export function measureRate(opts: MeasureRateOptions): number {
  const { rate, elapsedMs, now } = opts;
  const runs = opts.runs.targetRuns + opts.runs.otherRuns;
  const passedMs = now - rate.since;
  if (passedMs >= windowMs) {
    rate.perMs = (runs - rate.runs) / passedMs;
    rate.runs = runs;
    rate.since = now;
  }
  return Math.max(rate.perMs, runs / Math.max(1, elapsedMs));
}
