/**
 * Outcome: at the end of the trace, all nodes are alive members in the state of
 * each node.
 * @module
 */
import { aliveIds } from "../../membership/alive_ids.ts";
import { TraceSlice } from "../messages.ts";
import { findingOf, type OutcomeCheck } from "./outcome.ts";

/** Creates the check, for traces of one failure domain. */
export function checkMembers(): OutcomeCheck {
  const alive = new Map<string, number>();
  return {
    observe(decision) {
      if (decision.slice !== TraceSlice.Membership) return undefined;
      // The state of a node that is leaving at the end of its recording does
      // not count.
      if (decision.state.isLeaving) return undefined;
      const known = [...aliveIds(decision.state)].length;
      if (decision.event.type === "ticked") alive.set(decision.node, known);
      return undefined;
    },
    finish() {
      const counts = [...alive.values()];
      if (counts.length < 2) return undefined;
      const isComplete = counts.every((one) => one === alive.size);
      return findingOf(
        isComplete,
        `of ${alive.size} nodes, each node has these as alive: ${counts}`,
      );
    },
  };
}
