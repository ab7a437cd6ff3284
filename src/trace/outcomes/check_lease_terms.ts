/**
 * A step is accepted only from the holder of the lease in force.
 * @module
 */
import type { Envelope } from "../../config_log/messages.ts";
import { RecordKind } from "../../config_log/messages.ts";
import { leaseOf } from "../../config_log/rollout_rows.ts";
import { TraceSlice } from "../messages.ts";
import { findingOf, type OutcomeCheck } from "./outcome.ts";

/** Creates the check. It holds only once a lease has changed hands. */
export function checkLeaseTerms(): OutcomeCheck {
  return {
    note(decision) {
      if (decision.slice !== TraceSlice.Config) return undefined;
      const { event, state, effects } = decision;
      if (event.type !== "record" || effects[0]?.type !== "accepted") {
        return undefined;
      }
      const { record } = JSON.parse(event.record.body) as Envelope;
      if (record.kind !== RecordKind.RolloutStep) return undefined;
      const lease = state.leases.get(leaseOf(record.rollout));
      // An ended rollout has no lease any more.
      if (lease === undefined) return undefined;
      const isFenced = record.term === lease.term;
      if (isFenced && lease.term < 2) return undefined;
      return findingOf(isFenced, `a step of term ${record.term} was accepted`);
    },
  };
}
