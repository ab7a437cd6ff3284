/**
 * Takes a hold that a reader tells the holder of, and spreads it at once.
 * @module
 */
import type { MonotonicMs, NodeId } from "../core/types.ts";
import { raiseAlert } from "./confirm_fault.ts";
import { holdEverywhere } from "./hold_everywhere.ts";
import { faultOfDomain } from "./analyze_scopes.ts";
import type { RolloutMessage } from "./messages.ts";
import { recordRemoteHold } from "./record_remote_hold.ts";
import type {
  Leadership,
  RolloutEffect,
  RolloutState,
  Track,
} from "./state.ts";

/** Options of `handleRemoteHold`. */
export interface HandleRemoteHoldOptions {
  readonly state: RolloutState;
  readonly track: Track;
  readonly lead: Leadership;
  readonly from: NodeId;
  readonly message: Extract<RolloutMessage, { type: "rollout/held" }>;
  readonly now: MonotonicMs;
}

/**
 * Holds everywhere. What a whole domain's evidence shows is a fault like one
 * that the holder finds itself; a single node's hold waits for the fleet's.
 */
export function handleRemoteHold(
  opts: HandleRemoteHoldOptions,
): readonly RolloutEffect[] {
  const { state, track, lead, from, message, now } = opts;
  const { origin, shown } = message;
  recordRemoteHold(lead, from, origin, now);
  if (shown !== undefined) {
    const fault = faultOfDomain(lead, shown.domain, shown.finding);
    lead.alarm ??= raiseAlert(fault, now);
  }
  const reason = `Node ${origin} saw a fault.`;
  return holdEverywhere({ state, track, lead, reason, now });
}
