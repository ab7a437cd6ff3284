/**
 * No request is in flight at more than two crashes.
 * @module
 */
import { TraceSlice } from "../messages.ts";
import { findingOf, type OutcomeCheck } from "./outcome.ts";

const maxCrashes = 2;

/** Creates the check. It holds only when a request has crashed twice. */
export function checkCrashes(): OutcomeCheck {
  return {
    note(decision) {
      if (decision.slice !== TraceSlice.Quarantine) return undefined;
      const counts = [...decision.state.suspects.values()]
        .map((one) => one.row.crashes.length);
      const most = Math.max(0, ...counts);
      if (most < maxCrashes) return undefined;
      return findingOf(most === maxCrashes, `a request was at ${most} crashes`);
    },
  };
}
