/**
 * Nodes at the same offset of the log hold the same state.
 * @module
 */
import { TraceSlice } from "../messages.ts";
import { findingOf, type OutcomeCheck } from "./outcome.ts";

/** Creates the check. It holds only when two recordings share an offset. */
export function checkDigests(): OutcomeCheck {
  const digests = new Map<number, string>();
  return {
    note(decision) {
      if (decision.slice !== TraceSlice.Config) return undefined;
      const { next, digest } = decision.state;
      const known = digests.get(next);
      digests.set(next, digest);
      if (known === undefined) return undefined;
      return findingOf(known === digest, `digests differ at offset ${next}`);
    },
  };
}
