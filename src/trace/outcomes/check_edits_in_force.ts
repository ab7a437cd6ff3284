/**
 * Outcome: the newest accepted version is served at the end of a recording.
 * @module
 */
import { TraceSlice } from "../messages.ts";
import { type Finding, findingOf, type OutcomeCheck } from "./outcome.ts";

/** Creates the check. */
export function checkEditsInForce(): OutcomeCheck {
  let accepted = 0;
  let served = 0;
  return {
    observe(decision) {
      if (decision.slice === TraceSlice.Config) {
        accepted = decision.state.version;
      } else if (decision.slice === TraceSlice.Serving) {
        for (const effect of decision.effects) {
          if (effect.type === "swapped") served = effect.config.version;
        }
      }
      return undefined;
    },
    finishRecording(): Finding | undefined {
      const finding = accepted === 0 ? undefined : findingOf(
        served === accepted,
        `version ${accepted} accepted, ${served} served`,
      );
      accepted = served = 0;
      return finding;
    },
  };
}
