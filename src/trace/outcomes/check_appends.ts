/**
 * Outcome: each record that a node submits to the log is settled at most once.
 * @module
 */
import { TraceSlice } from "../messages.ts";
import { findingOf, type OutcomeCheck } from "./outcome.ts";

/** Creates the check. */
export function checkAppends(): OutcomeCheck {
  const settled = new Set<number>();
  return {
    observe(decision) {
      if (decision.slice !== TraceSlice.Append) return undefined;
      for (const effect of decision.effects) {
        if (effect.type !== "settle") continue;
        const isFirst = !settled.has(effect.seq);
        settled.add(effect.seq);
        return findingOf(isFirst, `record ${effect.seq} was settled twice`);
      }
      return undefined;
    },
    finishRecording() {
      settled.clear();
      return undefined;
    },
  };
}
