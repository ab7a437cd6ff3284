/**
 * Outcome: rollouts end in the given phase and not in the other final phase.
 * @module
 */
import { RolloutPhase } from "../../config_log/state.ts";
import { TraceSlice } from "../messages.ts";
import { findingOf, type OutcomeCheck } from "./outcome.ts";

type End = typeof RolloutPhase.Done | typeof RolloutPhase.RolledBack;

/** Creates the check for rollouts that end as done or as rolled back. */
export function checkRolloutEnd(end: End): OutcomeCheck {
  const other = end === RolloutPhase.Done
    ? RolloutPhase.RolledBack
    : RolloutPhase.Done;
  return {
    observe(decision) {
      if (decision.slice !== TraceSlice.Config) return undefined;
      const phases = [...decision.state.rollouts.values()]
        .map((one) => one.phase);
      const isOther = phases.includes(other);
      if (!isOther && !phases.includes(end)) return undefined;
      return findingOf(!isOther, `a rollout ended as ${other}`);
    },
  };
}
