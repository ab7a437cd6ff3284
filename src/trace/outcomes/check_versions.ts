/**
 * Outcome: no node goes back to an older configuration version, not even after
 * a restart.
 * @module
 */
import { TraceSlice } from "../messages.ts";
import { findingOf, type OutcomeCheck } from "./outcome.ts";

/** Creates the check. */
export function checkVersions(): OutcomeCheck {
  const highest = new Map<string, number>();
  return {
    observe(decision) {
      if (decision.slice !== TraceSlice.Serving) return undefined;
      const swap = decision.effects.find((one) => one.type === "swapped");
      if (swap === undefined) return undefined;
      const { version } = swap.config;
      const before = highest.get(decision.node) ?? 0;
      highest.set(decision.node, version);
      return findingOf(
        version >= before && version >= (decision.event.floor ?? Infinity),
        `${decision.node} went from version ${before} to ${version}`,
      );
    },
  };
}
