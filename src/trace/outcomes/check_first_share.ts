/**
 * Outcome: a new version starts with the first share step, as there is no
 * evidence on it yet.
 * @module
 */
import { SHARE_STEPS } from "../../rollout/plan_step.ts";
import { TraceSlice } from "../messages.ts";
import { findingOf, type OutcomeCheck } from "./outcome.ts";

const FIRST_SHARE_PER_MILLE = SHARE_STEPS[0]?.perMille ?? 0;

/** Creates the check. */
export function checkFirstShare(): OutcomeCheck {
  return {
    observe(decision) {
      if (decision.slice !== TraceSlice.Config) return undefined;
      const begun = [...decision.state.rollouts.values()]
        .filter((one) => one.steps.length === 1 && one.perMille > 0);
      if (begun.length === 0) return undefined;
      const wrong = begun.find((one) => one.perMille > FIRST_SHARE_PER_MILLE);
      return findingOf(
        wrong === undefined,
        `${wrong?.id} starts above the first share`,
      );
    },
  };
}
