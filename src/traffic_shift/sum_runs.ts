/**
 * Sums up the runs of a move.
 * @module
 */
import { Side } from "../rollout/messages.ts";
import type { Evidence } from "../rollout/state.ts";

/** Runs of the new version and of those that it replaces. */
export interface RunSums {
  readonly targetRuns: number;
  readonly targetFailures: number;
  readonly otherRuns: number;
  readonly otherFailures: number;
}

/** Adds up all routes. */
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
