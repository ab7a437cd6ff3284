/**
 * The trace shows appends that failed, so its fault really happened.
 * @module
 */
import { TraceSlice } from "../messages.ts";
import { held, type OutcomeCheck } from "./outcome.ts";

/** Creates the check. */
export function checkLogFailures(): OutcomeCheck {
  return {
    note: (decision) =>
      decision.slice === TraceSlice.Append && decision.event.type === "failed"
        ? held
        : undefined,
  };
}
