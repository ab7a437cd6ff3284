/**
 * Outcome: records with a given verdict don't change the version, the lists,
 * the rollouts, the withdrawn versions or the leases.
 * @module
 */
import type { ConfigState, Verdict } from "../../config_log/state.ts";
import { encodeValue } from "../encode_value.ts";
import { TraceSlice } from "../messages.ts";
import { findingOf, type OutcomeCheck } from "./outcome.ts";

/** Creates the check for one kind of verdict. */
export function checkFoldUnchanged(kind: Verdict["type"]): OutcomeCheck {
  let before = "";
  return {
    observe(decision) {
      if (decision.slice !== TraceSlice.Config) return undefined;
      const after = contentOf(decision.state);
      const isSame = after === before;
      before = after;
      const [verdict] = decision.effects;
      if (verdict?.type !== kind) return undefined;
      return findingOf(isSame, `a ${kind} record changed the state`);
    },
    finishRecording() {
      before = "";
      return undefined;
    },
  };
}

function contentOf(state: ConfigState): string {
  const { version, customers, uses, rollouts, withdrawn, leases } = state;
  const value = { version, customers, uses, rollouts, withdrawn, leases };
  return encodeValue({ value, sliceOf: () => undefined });
}
