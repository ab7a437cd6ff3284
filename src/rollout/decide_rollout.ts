/**
 * Collects evidence on versions, holds faulty ones, and leads rollouts under a
 * fenced lease.
 * @module
 */
import { isLive, leaseNameOf } from "../config_log/rollout_rows.ts";
import type { Lease } from "../config_log/state.ts";
import { exhausted } from "../core/exhausted.ts";
import type { MonotonicMs, NodeId } from "../core/types.ts";
import {
  claimLease,
  lastStepOffset,
  recordLogHeartbeats,
} from "./claim_lease.ts";
import { countCall } from "./count_call.ts";
import { countOverdue } from "./count_overdue.ts";
import { createLeadership, createTrackedRollout } from "./create_track.ts";
import { beginHold, endHold, releaseHold } from "./local_hold.ts";
import { leadRollout } from "./lead_rollout.ts";
import { keepEndedHistory } from "./record_history.ts";
import { mergeReport } from "./merge_report.ts";
import {
  type EvidenceReport,
  ReportLevel,
  type RolloutMessage,
} from "./messages.ts";
import { handleRemoteHold } from "./handle_remote_hold.ts";
import type {
  RolloutEffect,
  RolloutEvent,
  RolloutState,
  TickedEvent,
  TrackedRollout,
} from "./state.ts";
import { holderName, readerName, sendEvidence } from "./send_evidence.ts";
import { watchVersion } from "./watch_version.ts";

/** Applies one event to the state and returns its effects. */
export function decideRollout(
  state: RolloutState,
  event: RolloutEvent,
): readonly RolloutEffect[] {
  switch (event.type) {
    case "begun":
    case "answered":
    case "abandoned":
      countCall(state, event);
      return [];
    case "received":
      return handleMessage(state, event);
    case "settled": {
      const tracked = state.tracks.get(event.rollout);
      if (tracked === undefined) return [];
      tracked.isClaimSent = false;
      if (tracked.leadership === undefined) return [];
      delete tracked.leadership.sentAfter;
      // A rollback that took effect ends the rollout, and the next tick stops
      // tracking it. A rollback that had no effect is appended again.
      tracked.leadership.isRollbackSent = false;
      return [];
    }
    case "ticked":
      return handleTick(state, event);
    default:
      return exhausted(event);
  }
}

function handleMessage(
  state: RolloutState,
  event: Extract<RolloutEvent, { type: "received" }>,
): readonly RolloutEffect[] {
  const { message, from, now } = event;
  const id = message.type === "rollout/evidence"
    ? message.report.rollout
    : message.rollout;
  const tracked = state.tracks.get(id);
  if (tracked === undefined) return [];
  switch (message.type) {
    case "rollout/evidence":
      applyReport(state, tracked, message.report);
      return [];
    case "rollout/hold": {
      const { origin, reason } = message;
      return beginHold({ state, tracked, origin, reason, now });
    }
    case "rollout/held": {
      const lead = tracked.leadership;
      // Ignore a hold that this lease holder ordered itself.
      if (lead === undefined || message.origin === state.self) return [];
      return handleRemoteHold({ state, tracked, lead, from, message, now });
    }
    case "rollout/release":
      if (message.term < tracked.heartbeatTerm) return [];
      return [
        ...forwardToDomain(state, from, message),
        ...releaseHold(state, tracked, now, message.isProbed),
      ];
    case "rollout/leading":
      if (message.term < tracked.heartbeatTerm) return [];
      tracked.heartbeatAt = now;
      return forwardHeartbeat(state, from, message);
    default:
      return exhausted(message);
  }
}

/**
 * A reader forwards a message to its domain, unless another reader of the
 * domain sent the message.
 */
function forwardToDomain(
  state: RolloutState,
  from: NodeId,
  message: RolloutMessage,
): readonly RolloutEffect[] {
  const isReader = state.readers.some((one) => one.id === state.self);
  const isFromReader = state.readers.some((one) => one.id === from);
  return isReader && !isFromReader ? [{ type: "tell-domain", message }] : [];
}

/**
 * The preferred reader forwards the holder's heartbeat to the other readers.
 */
function forwardHeartbeat(
  state: RolloutState,
  from: NodeId,
  message: RolloutMessage,
): readonly RolloutEffect[] {
  const [preferred, ...others] = state.readers;
  const isFromReader = state.readers.some((one) => one.id === from);
  if (preferred?.id !== state.self || isFromReader) return [];
  return others.map(({ id }) => ({ type: "send", to: id, message }));
}

/** Merges a report if it is addressed to this process or to its lease term. */
function applyReport(
  state: RolloutState,
  tracked: TrackedRollout,
  report: EvidenceReport,
) {
  const { leadership } = tracked;
  switch (report.level) {
    case ReportLevel.Node:
      if (report.receiver !== readerName(state.self, state.boot)) return;
      mergeReport(tracked.domain, report);
      return;
    case ReportLevel.Domain:
      if (leadership === undefined) return;
      if (report.receiver !== holderName(state.self, leadership.term)) return;
      mergeReport(leadership.inbox, report);
      return;
    default:
      exhausted(report.level);
  }
}

function handleTick(
  state: RolloutState,
  event: TickedEvent,
): readonly RolloutEffect[] {
  state.readers = event.readers;
  const effects = [...updateTracks(state, event)];
  if (state.tracks.size === 0) {
    state.inFlight.clear();
    return effects;
  }
  countOverdue(state, event.now);
  for (const tracked of state.tracks.values()) {
    const lease = event.config.leases.get(leaseNameOf(tracked.rollout.id));
    recordLogHeartbeats(tracked, event, lease);
    updateLeadership(state, tracked, lease, event.now);
    effects.push(
      ...sendEvidence(state, tracked, event, lease),
      ...watchVersion(state, tracked, event, lease?.holder),
      ...(tracked.leadership === undefined
        ? claimLease(state, tracked, event, lease)
        : leadRollout(state, tracked, event, tracked.leadership)),
    );
  }
  return effects;
}

/** Starts to track each new live rollout, and stops to track ended ones. */
function updateTracks(
  state: RolloutState,
  event: TickedEvent,
): readonly RolloutEffect[] {
  const effects: RolloutEffect[] = [];
  const { rollouts } = event.config;
  for (const [id, tracked] of state.tracks) {
    const rollout = rollouts.get(id);
    if (rollout !== undefined && isLive(rollout)) {
      tracked.rollout = rollout;
      continue;
    }
    effects.push(...endHold(state, tracked));
    keepEndedHistory(state, tracked);
    state.tracks.delete(id);
  }
  for (const [id, rollout] of rollouts) {
    if (!isLive(rollout) || state.tracks.has(id)) continue;
    state.tracks.set(id, createTrackedRollout(rollout, event.now));
  }
  return effects;
}

/** Leads only under a term that this process, not an earlier one, claimed. */
function updateLeadership(
  state: RolloutState,
  tracked: TrackedRollout,
  lease: Lease | undefined,
  now: MonotonicMs,
) {
  const isOwn = lease !== undefined && lease.holder === state.self &&
    lease.term === tracked.claimedTerm;
  if (!isOwn) {
    delete tracked.leadership;
    return;
  }
  if (tracked.leadership?.term === lease.term) return;
  const stepOffset = lastStepOffset(tracked.rollout.steps);
  tracked.leadership = createLeadership(lease.term, stepOffset, now);
}
