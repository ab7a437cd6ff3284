/**
 * Outcome: a version that was rolled back does not get calls while it is
 * withdrawn.
 * @module
 */
import { keyOfVersion } from "../../core/key_of_version.ts";
import { TraceSlice } from "../messages.ts";
import { findingOf, type OutcomeCheck } from "./outcome.ts";

/** Creates the check. */
export function checkWithdrawn(): OutcomeCheck {
  return {
    observe(decision) {
      if (decision.slice !== TraceSlice.Serving) return undefined;
      const { withdrawn } = decision.event.config;
      const swap = decision.effects.find((one) => one.type === "swapped");
      if (swap === undefined || withdrawn.size === 0) return undefined;
      const withdrawnKeys = new Set(
        [...withdrawn.values()].map((one) =>
          keyOfVersion(one.service, one.version)
        ),
      );
      const wrong = [...swap.config.services.values()].find((served) => {
        const { service, split } = served;
        const named = [split.stable, split.candidate?.version ?? split.stable];
        return named.some((one) =>
          withdrawnKeys.has(keyOfVersion(service, one))
        );
      });
      return findingOf(
        wrong === undefined,
        `${wrong?.service} serves a withdrawn version`,
      );
    },
  };
}
