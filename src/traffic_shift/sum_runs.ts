/**
 * Sums up the runs of a traffic shift.
 * @module
 */
import { Side } from "../rollout/messages.ts";
import type { Evidence } from "../rollout/state.ts";

/**
 * Runs and failures of the new version and of the versions that it replaces.
 */
export interface RunSums {
  readonly targetRuns: number;
  readonly targetFailures: number;
  readonly otherRuns: number;
  readonly otherFailures: number;
}

/** Sums up the runs of all routes. */
export function sumRuns(evidence: Evidence): RunSums {
  let [targetRuns, targetFailures, otherRuns, otherFailures] = [0, 0, 0, 0];
  for (const { side, calls, failures } of evidence.values()) {
    if (side === Side.New) {
      targetRuns += calls;
      targetFailures += failures;
    } else {
      otherRuns += calls;
      otherFailures += failures;
    }
  }
  return { targetRuns, targetFailures, otherRuns, otherFailures };
}
