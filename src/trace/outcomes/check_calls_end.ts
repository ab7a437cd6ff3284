/**
 * Outcome: each call that a node started at an endpoint on its VM has ended
 * before the node stops.
 * @module
 */
import { TraceSlice } from "../messages.ts";
import { type Finding, findingOf, type OutcomeCheck } from "./outcome.ts";

/** Creates the check. */
export function checkCallsEnd(): OutcomeCheck {
  let started = 0;
  let ended = 0;
  return {
    observe(decision) {
      if (decision.slice !== TraceSlice.Admission) return undefined;
      const { event } = decision;
      if (event.type === "started" && event.isRun) started++;
      if (event.type === "ended") ended++;
      return undefined;
    },
    finishRecording(): Finding | undefined {
      const finding = started === 0 ? undefined : findingOf(
        started === ended,
        `${started} calls started, ${ended} ended`,
      );
      started = ended = 0;
      return finding;
    },
  };
}
