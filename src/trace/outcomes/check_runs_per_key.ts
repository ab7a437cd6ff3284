/**
 * Outcome: the call of an idempotency key runs at most once. An attempt that
 * was released without having run does not count.
 * @module
 */
import { TraceSlice } from "../messages.ts";
import { findingOf, type OutcomeCheck } from "./outcome.ts";

/** Creates the check. It counts runs over all nodes of the trace. */
export function checkRunsPerKey(): OutcomeCheck {
  const runs = new Map<string, number>();
  const keyOfAttempt = new Map<string, string>();
  let isBroken = false;
  const adjustRunCount = (attempt: string, change: number) => {
    const key = keyOfAttempt.get(attempt) ?? "";
    runs.set(key, (runs.get(key) ?? 0) + change);
  };
  return {
    observe(decision) {
      if (decision.slice !== TraceSlice.Ask) return undefined;
      const { event, effects, state } = decision;
      for (const [attempt, known] of state.attempts) {
        keyOfAttempt.set(attempt, known.claim.key);
      }
      if (event.type === "settled" && event.outcome === undefined) {
        adjustRunCount(event.attempt, -1);
      }
      for (const effect of effects) {
        if (effect.type !== "resolve" || effect.outcome.type !== "run") {
          continue;
        }
        if (!keyOfAttempt.has(effect.attempt)) isBroken = true;
        adjustRunCount(effect.attempt, 1);
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
