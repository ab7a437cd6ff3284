/**
 * Outcome: an attempt that was refused as not run is never run later.
 * @module
 */
import { TraceSlice } from "../messages.ts";
import { findingOf, type OutcomeCheck } from "./outcome.ts";

/**
 * Creates the check. The outcome holds only if the trace contains an attempt
 * that was refused as not run.
 */
export function checkNotRun(): OutcomeCheck {
  const refused = new Set<string>();
  return {
    observe(decision) {
      if (decision.slice !== TraceSlice.Ask) return undefined;
      for (const effect of decision.effects) {
        if (effect.type !== "resolve") continue;
        const { attempt, outcome } = effect;
        if (outcome.type === "refused" && outcome.isNotRun) {
          refused.add(attempt);
        }
        if (refused.has(attempt)) {
          return findingOf(
            outcome.type !== "run",
            `${attempt} ran after it was refused as not run`,
          );
        }
      }
      return undefined;
    },
  };
}
