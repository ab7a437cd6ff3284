/**
 * Outcome: nodes at the same log offset have the same state.
 * @module
 */
import { TraceSlice } from "../messages.ts";
import { findingOf, type OutcomeCheck } from "./outcome.ts";

/**
 * Creates the check. The outcome holds only if the trace contains two states at
 * the same offset.
 */
export function checkDigests(): OutcomeCheck {
  const digests = new Map<number, string>();
  return {
    observe(decision) {
      if (decision.slice !== TraceSlice.Config) return undefined;
      const { next, digest } = decision.state;
      const known = digests.get(next);
      digests.set(next, digest);
      if (known === undefined) return undefined;
      return findingOf(
        known === digest,
        `digests of the state differ at offset ${next}`,
      );
    },
  };
}
