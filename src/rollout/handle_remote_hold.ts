/**
 * Handles a hold that a reader reports to the lease holder.
 * @module
 */
import type { MonotonicMs, NodeId } from "../core/types.ts";
import { raiseAlert } from "./confirm_fault.ts";
import { holdEverywhere } from "./hold_everywhere.ts";
import { createDomainFault } from "./analyze_scopes.ts";
import type { RolloutMessage } from "./messages.ts";
import { recordRemoteHold } from "./record_remote_hold.ts";
import type {
  Leadership,
  RolloutEffect,
  RolloutState,
  TrackedRollout,
} from "./state.ts";

/** Options of `handleRemoteHold`. */
export interface HandleRemoteHoldOptions {
  readonly state: RolloutState;
  readonly tracked: TrackedRollout;
  readonly lead: Leadership;
  readonly from: NodeId;
  readonly message: Extract<RolloutMessage, { type: "rollout/held" }>;
  readonly now: MonotonicMs;
}

/**
 * Holds the version in all domains. A fault in the evidence of a whole domain
 * counts like one that the lease holder finds itself; a single node's hold
 * needs the fleet's evidence to confirm it.
 */
export function handleRemoteHold(
  opts: HandleRemoteHoldOptions,
): readonly RolloutEffect[] {
  const { state, tracked, lead, from, message, now } = opts;
  const { origin, shown } = message;
  recordRemoteHold(lead, from, origin, now);
  if (shown !== undefined) {
    const fault = createDomainFault(lead, shown.domain, shown.finding);
    lead.alert ??= raiseAlert(fault, now);
  }
  const reason = `Node ${origin} saw a fault.`;
  return holdEverywhere({ state, tracked, lead, reason, now });
}
