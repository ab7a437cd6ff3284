/**
 * Outcome: a node does not start calls at an endpoint on its VM while the
 * endpoint is draining.
 * @module
 */
import { EndpointState } from "../../core/types.ts";
import { TraceSlice } from "../messages.ts";
import { findingOf, held, type OutcomeCheck } from "./outcome.ts";

/**
 * Creates the check. The outcome holds only if the trace contains a draining
 * endpoint.
 */
export function checkDraining(): OutcomeCheck {
  const draining = new Set<string>();
  return {
    observe(decision) {
      if (decision.slice === TraceSlice.Membership) {
        const { event } = decision;
        if (event.type !== "announced") return undefined;
        const { endpoint, state } = event.announcement;
        if (state !== EndpointState.Draining) {
          draining.delete(endpoint);
          return undefined;
        }
        draining.add(endpoint);
        return held;
      }
      if (decision.slice !== TraceSlice.Admission) return undefined;
      const { event } = decision;
      if (event.type !== "started" || !event.isRun) return undefined;
      if (!draining.has(event.endpoint)) return undefined;
      return findingOf(false, `${event.endpoint} got a call while draining`);
    },
  };
}
