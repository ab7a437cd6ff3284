/**
 * Takes a hold that a reader tells the holder of, and spreads it at once.
 * @module
 */
import type { MonotonicMs, NodeId } from "../core/types.ts";
import { raiseAlarm } from "./confirm_fault.ts";
import { holdEverywhere } from "./hold_everywhere.ts";
import { faultOfDomain } from "./judge_scopes.ts";
import type { RolloutMessage } from "./messages.ts";
import { noteToldHold } from "./note_told_hold.ts";
import type {
  Leadership,
  RolloutEffect,
  RolloutState,
  Track,
} from "./state.ts";

/** Options of `takeToldHold`. */
export interface TakeToldHoldOptions {
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
export function takeToldHold(
  opts: TakeToldHoldOptions,
): readonly RolloutEffect[] {
  const { state, track, lead, from, message, now } = opts;
  const { origin, shown } = message;
  noteToldHold(lead, from, origin, now);
  if (shown !== undefined) {
    const fault = faultOfDomain(lead, shown.domain, shown.finding);
    lead.alarm ??= raiseAlarm(fault, now);
  }
  const reason = `Node ${origin} saw a fault.`;
  return holdEverywhere({ state, track, lead, reason, now });
}
