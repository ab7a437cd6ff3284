/**
 * How long a call may wait once it misses its latency objective.
 * @module
 */
import { longDeadlineShare } from "../calls/deadline_share.ts";
import type { ShedCall } from "./state.ts";

/**
 * Fraction of its time that a late call may wait where a late answer is worth
 * little. It is then refused, early enough for its caller to retry.
 */
export const MIN_LATE_WAIT_SHARE = 0.25;

/**
 * Returns how long a call's caller waits, from 0 (the call may wait for
 * `MIN_LATE_WAIT_SHARE` once it is late) to 1 (until its deadline).
 */
export function patienceOf(call: Pick<ShedCall, "lateShare">): number {
  const share = call.lateShare ?? MIN_LATE_WAIT_SHARE;
  return (share - MIN_LATE_WAIT_SHARE) / (1 - MIN_LATE_WAIT_SHARE);
}

/**
 * Returns the fraction of its time that a late call may wait, from
 * `MIN_LATE_WAIT_SHARE` to 1, by the ratio of its caller's deadline to the
 * objective.
 */
export function lateWaitShare(deadlineRatio: number | undefined): number {
  return MIN_LATE_WAIT_SHARE +
    (1 - MIN_LATE_WAIT_SHARE) * longDeadlineShare(deadlineRatio);
}
