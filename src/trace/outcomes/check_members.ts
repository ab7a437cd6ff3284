/**
 * At the end each node's newest recording knows every node as alive.
 * @module
 */
import { aliveIds } from "../../membership/alive_ids.ts";
import { TraceSlice } from "../messages.ts";
import { findingOf, type OutcomeCheck } from "./outcome.ts";

/** Creates the check, for traces of one failure domain. */
export function checkMembers(): OutcomeCheck {
  const alive = new Map<string, number>();
  return {
    note(decision) {
      if (decision.slice !== TraceSlice.Membership) return undefined;
      // A stop at the end of the recording is not what the check is about.
      if (decision.state.isLeaving) return undefined;
      const known = [...aliveIds(decision.state)].length;
      if (decision.event.type === "ticked") alive.set(decision.node, known);
      return undefined;
    },
    finish() {
      const counts = [...alive.values()];
      if (counts.length < 2) return undefined;
      const isWhole = counts.every((one) => one === alive.size);
      return findingOf(isWhole, `of ${alive.size} nodes are known ${counts}`);
    },
  };
}
