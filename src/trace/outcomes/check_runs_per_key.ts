/**
 * A key runs once, unless an attempt gave it up without having run.
 * @module
 */
import { TraceSlice } from "../messages.ts";
import { findingOf, type OutcomeCheck } from "./outcome.ts";

/** Creates the check over all nodes of the trace. */
export function checkRunsPerKey(): OutcomeCheck {
  const runs = new Map<string, number>();
  const keyOf = new Map<string, string>();
  let isBroken = false;
  const add = (attempt: string, change: number) => {
    const key = keyOf.get(attempt) ?? "";
    runs.set(key, (runs.get(key) ?? 0) + change);
  };
  return {
    note(decision) {
      if (decision.slice !== TraceSlice.Ask) return undefined;
      const { event, effects, state } = decision;
      for (const [attempt, known] of state.attempts) {
        keyOf.set(attempt, known.claim.key);
      }
      if (event.type === "settled" && event.outcome === undefined) {
        add(event.attempt, -1);
      }
      for (const effect of effects) {
        if (effect.type !== "resolve" || effect.outcome.type !== "run") {
          continue;
        }
        if (!keyOf.has(effect.attempt)) isBroken = true;
        add(effect.attempt, 1);
      }
      return undefined;
    },
    finish() {
      if (runs.size === 0) return undefined;
      const isOnce = [...runs.values()].every((one) => one <= 1);
      return findingOf(isOnce && !isBroken, "a key ran twice");
    },
  };
}
