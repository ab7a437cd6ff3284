/**
 * How long less urgent calls stand back for more urgent ones.
 * @module
 */
import { classOf } from "./class_of.ts";
import { patienceOf } from "./late_wait_share.ts";
import type { ShedCall } from "./state.ts";

/**
 * Fraction of a call's slack (its latency objective less its run time) by which
 * it is ordered as if it had arrived later, for each step of lower urgency. A
 * call with an objective of 200 ms and a run of 60 ms stands back by 42 ms a
 * step. A strict order by urgency would starve the least urgent calls.
 */
const DELAY_SHARE_PER_STEP = 0.3;

/**
 * What a caller who waits long adds to `DELAY_SHARE_PER_STEP`. A late answer
 * keeps half of its worth there. At twice the capacity, calls of 268 and 681 ms
 * of the same urgency get 89 and 49% of their worth; without it 33 and 90%,
 * which is less per slot time.
 */
const PATIENT_DELAY_SHARE = 0.3;

/** Returns the time by which a call stands back, in milliseconds. */
export function delayOf(call: ShedCall, slackMs: number): number {
  const steps = Math.max(0, classOf(call));
  const share = DELAY_SHARE_PER_STEP + PATIENT_DELAY_SHARE * patienceOf(call);
  return steps * share * Math.max(0, slackMs);
}
