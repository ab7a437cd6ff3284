/**
 * How long a call may wait once it misses its latency objective.
 * @module
 */
import type { ShedCall } from "./state.ts";

/**
 * Fraction of its time that a late call may wait where a late answer is worth
 * little. It is then refused, early enough for its caller to retry.
 */
export const MIN_LATE_WAIT_SHARE = 0.25;

/**
 * Deadlines, as multiples of the objective, between which the share grows to
 * the whole time. Callers who set their deadline to four times the objective
 * lose nine tenths of the worth of a late answer, those who set it to six times
 * the objective one half.
 */
const IMPATIENT_RATIO = 4.25;
const PATIENT_RATIO = 5.25;

/**
 * Returns how long a call's caller waits, from 0 (the call may wait for
 * `MIN_LATE_WAIT_SHARE` once it is late) to 1 (until its deadline).
 */
export function patienceOf(call: Pick<ShedCall, "lateShare">): number {
  const share = call.lateShare ?? MIN_LATE_WAIT_SHARE;
  return (share - MIN_LATE_WAIT_SHARE) / (1 - MIN_LATE_WAIT_SHARE);
}

/** Options of `lateWaitShare`. */
export interface LateWaitShareOptions {
  readonly objectiveMs: number;
  /** Time from the caller's first request to its deadline. */
  readonly deadlineMs: number;
}

/**
 * Returns the fraction of its time that a late call may wait, from
 * `MIN_LATE_WAIT_SHARE` to 1.
 */
export function lateWaitShare(opts: LateWaitShareOptions): number {
  if (!(opts.objectiveMs > 0)) return MIN_LATE_WAIT_SHARE;
  const ratio = opts.deadlineMs / opts.objectiveMs;
  const patience = (ratio - IMPATIENT_RATIO) /
    (PATIENT_RATIO - IMPATIENT_RATIO);
  return MIN_LATE_WAIT_SHARE +
    (1 - MIN_LATE_WAIT_SHARE) * Math.min(1, Math.max(0, patience));
}
