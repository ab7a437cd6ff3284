/**
 * Outcome: the trace contains a failed append, so the fault that the trace is
 * about did happen.
 * @module
 */
import { TraceSlice } from "../messages.ts";
import { held, type OutcomeCheck } from "./outcome.ts";

/** Creates the check. */
export function checkLogFailures(): OutcomeCheck {
  return {
    observe: (decision) =>
      decision.slice === TraceSlice.Append && decision.event.type === "failed"
        ? held
        : undefined,
  };
}
