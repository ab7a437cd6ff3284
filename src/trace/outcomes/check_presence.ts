/**
 * Outcome: every version that a node routes calls to has a ready endpoint.
 * @module
 */
import { keyOfVersion } from "../../core/key_of_version.ts";
import { TraceSlice } from "../messages.ts";
import { findingOf, type OutcomeCheck } from "./outcome.ts";

/**
 * Creates the check. The outcome holds only if the trace contains a service
 * that was inactive for a time.
 */
export function checkPresence(): OutcomeCheck {
  let wasAbsent = false;
  return {
    observe(decision) {
      if (decision.slice !== TraceSlice.Serving) return undefined;
      const { present } = decision.event;
      const swap = decision.effects.find((one) => one.type === "swapped");
      if (swap === undefined) return undefined;
      if (swap.config.inactive.size > 0) wasAbsent = true;
      const wrong = [...swap.config.services.values()].find((served) => {
        const { service, split } = served;
        const named = [split.stable, split.candidate?.version ?? split.stable];
        return named.some((one) => !present.has(keyOfVersion(service, one)));
      });
      if (wrong === undefined && !wasAbsent) return undefined;
      return findingOf(
        wrong === undefined,
        `${wrong?.service} has no ready endpoint`,
      );
    },
  };
}
