/**
 * Baseline of the rollout experiment: steps at fixed times, and rollback above
 * a fixed share of failures.
 * @module
 */
import { FULL_SHARE_PER_MILLE } from "../../src/config_log/fold_rollout.ts";
import type { RolloutStep } from "../../src/config_log/messages.ts";
import { type Rollout, RolloutPhase } from "../../src/config_log/state.ts";

const SHARES_PER_MILLE = [20, 100, 300, FULL_SHARE_PER_MILLE] as const;
const STEP_MS = 2_000;
const BAKE_MS = 4_000;
const MIN_CALLS = 10;
const MAX_FAILURE_SHARE = 0.05;

/** Options of `stepBaseline`. */
export interface StepBaselineOptions {
  readonly rollout: Rollout;
  /** Calls of the new version since the rollout began. */
  readonly calls: number;
  readonly failures: number;
  /** Time since the last step, in milliseconds. */
  readonly waitedMs: number;
}

/** Returns the step that is due, if any. */
export function stepBaseline(
  opts: StepBaselineOptions,
): RolloutStep | undefined {
  const { rollout, calls, failures, waitedMs } = opts;
  if (calls >= MIN_CALLS && failures / calls > MAX_FAILURE_SHARE) {
    return { type: "rollback", reason: "Too many calls failed." };
  }
  if (rollout.phase === RolloutPhase.Baking) {
    if (waitedMs < BAKE_MS) return undefined;
    return { type: "done", reason: "No fault showed while baking." };
  }
  if (waitedMs < STEP_MS) return undefined;
  const perMille = SHARES_PER_MILLE.find((share) => share > rollout.perMille);
  if (perMille === undefined) {
    return { type: "bake", reason: "The version serves alone." };
  }
  return { type: "share", perMille, reason: "No fault showed so far." };
}
