/**
 * Each call that a home started has ended before the node stopped.
 * @module
 */
import { TraceSlice } from "../messages.ts";
import { type Finding, findingOf, type OutcomeCheck } from "./outcome.ts";

/** Creates the check. */
export function checkCallsEnd(): OutcomeCheck {
  let started = 0;
  let ended = 0;
  return {
    note(decision) {
      if (decision.slice !== TraceSlice.Admission) return undefined;
      const { event } = decision;
      if (event.type === "started" && event.isRun) started++;
      if (event.type === "ended") ended++;
      return undefined;
    },
    finishRecording(): Finding | undefined {
      const finding = started === 0
        ? undefined
        : findingOf(started === ended, `${started} started, ${ended} ended`);
      started = ended = 0;
      return finding;
    },
  };
}
