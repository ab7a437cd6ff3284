/**
 * The plain baseline: fixed steps, and a fixed threshold on errors.
 * @module
 */
import { FULL_SHARE_PER_MILLE } from "../../src/config_log/fold_rollout.ts";
import type { RolloutStep } from "../../src/config_log/messages.ts";
import { type Rollout, RolloutPhase } from "../../src/config_log/state.ts";

const shares = [20, 100, 300, FULL_SHARE_PER_MILLE] as const;
const stepMs = 2_000;
const bakeMs = 4_000;
const minCalls = 10;
const maxFailureShare = 0.05;

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
  if (calls >= minCalls && failures / calls > maxFailureShare) {
    return { type: "rollback", reason: "Too many calls failed." };
  }
  if (rollout.phase === RolloutPhase.Baking) {
    if (waitedMs < bakeMs) return undefined;
    return { type: "done", reason: "No fault showed while baking." };
  }
  if (waitedMs < stepMs) return undefined;
  const perMille = shares.find((share) => share > rollout.perMille);
  if (perMille === undefined) {
    return { type: "bake", reason: "The version serves alone." };
  }
  return { type: "share", perMille, reason: "No fault showed so far." };
}
