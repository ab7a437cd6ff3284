/**
 * A new version begins with the first share, before there is evidence.
 * @module
 */
import { SHARE_STEPS } from "../../rollout/plan_step.ts";
import { TraceSlice } from "../messages.ts";
import { findingOf, type OutcomeCheck } from "./outcome.ts";

const first = SHARE_STEPS[0]?.perMille ?? 0;

/** Creates the check. */
export function checkFirstShare(): OutcomeCheck {
  return {
    note(decision) {
      if (decision.slice !== TraceSlice.Config) return undefined;
      const begun = [...decision.state.rollouts.values()]
        .filter((one) => one.steps.length === 1 && one.perMille > 0);
      if (begun.length === 0) return undefined;
      const wrong = begun.find((one) => one.perMille > first);
      return findingOf(wrong === undefined, `${wrong?.id} begins too high`);
    },
  };
}
