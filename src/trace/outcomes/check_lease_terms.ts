/**
 * Outcome: a rollout step is accepted only with the term of the current lease.
 * @module
 */
import type { Envelope } from "../../config_log/messages.ts";
import { RecordKind } from "../../config_log/messages.ts";
import { leaseNameOf } from "../../config_log/rollout_rows.ts";
import { TraceSlice } from "../messages.ts";
import { findingOf, type OutcomeCheck } from "./outcome.ts";

/**
 * Creates the check. The outcome holds only if the trace contains an accepted
 * step of term 2 or later.
 */
export function checkLeaseTerms(): OutcomeCheck {
  return {
    observe(decision) {
      if (decision.slice !== TraceSlice.Config) return undefined;
      const { event, state, effects } = decision;
      if (event.type !== "record" || effects[0]?.type !== "accepted") {
        return undefined;
      }
      const { record } = JSON.parse(event.record.body) as Envelope;
      if (record.kind !== RecordKind.RolloutStep) return undefined;
      const lease = state.leases.get(leaseNameOf(record.rollout));
      // The lease is removed when the rollout ends.
      if (lease === undefined) return undefined;
      const isFenced = record.term === lease.term;
      if (isFenced && lease.term < 2) return undefined;
      return findingOf(
        isFenced,
        `a step of the stale term ${record.term} was accepted`,
      );
    },
  };
}
