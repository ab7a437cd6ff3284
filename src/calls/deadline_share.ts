/**
 * How much a call's caller waits beyond the latency objective.
 * @module
 */

/**
 * Ratio of deadline to objective up to which a late answer has little value. At
 * ratios of 1.5 to 4.2, it has a tenth to a third of that of one on time.
 */
const SHORT_DEADLINE_RATIO = 4.25;

/**
 * Ratio from which a late answer has half the value of one on time. Such routes
 * have ratios of 5.8 to 6.5. A retry has an estimated 0.85 of its call's ratio.
 */
const LONG_DEADLINE_RATIO = 5;

/**
 * Returns 0 for a call whose answer has little value past its objective, 1 for
 * one whose caller waits long, and a share between them otherwise. Undefined is
 * an unknown ratio.
 */
export function longDeadlineShare(deadlineRatio: number | undefined): number {
  if (deadlineRatio === undefined || !Number.isFinite(deadlineRatio)) return 0;
  const share = (deadlineRatio - SHORT_DEADLINE_RATIO) /
    (LONG_DEADLINE_RATIO - SHORT_DEADLINE_RATIO);
  return Math.min(1, Math.max(0, share));
}

/** Returns whether the decisions about a call are those for long deadlines. */
export function isLongDeadline(deadlineRatio: number | undefined): boolean {
  return longDeadlineShare(deadlineRatio) >= 0.5;
}
