/**
 * Outcome: no request is in flight at more than two endpoint crashes.
 * @module
 */
import { TraceSlice } from "../messages.ts";
import { findingOf, type OutcomeCheck } from "./outcome.ts";

const MAX_CRASHES_PER_REQUEST = 2;

/**
 * Creates the check. The outcome holds only if the trace contains a request
 * that was in flight at two crashes.
 */
export function checkCrashes(): OutcomeCheck {
  return {
    observe(decision) {
      if (decision.slice !== TraceSlice.Quarantine) return undefined;
      const counts = [...decision.state.suspects.values()]
        .map((one) => one.row.crashes.length);
      const most = Math.max(0, ...counts);
      if (most < MAX_CRASHES_PER_REQUEST) return undefined;
      return findingOf(
        most === MAX_CRASHES_PER_REQUEST,
        `a request was in flight at ${most} crashes`,
      );
    },
  };
}
