/**
 * Decides on each event of membership: members, home nodes and other domains.
 * @module
 */
import { exhausted } from "../core/exhausted.ts";
import type { MonotonicMs, NodeId } from "../core/types.ts";
import {
  announceUpstream,
  dropUnresponsiveUpstreams,
} from "./announce_upstream.ts";
import type { MembershipMessage } from "./messages.ts";
import { sendOwnRow } from "./own_row.ts";
import { forwardBroadcast, send } from "./overlay_of.ts";
import { pingMembers, removeDeadMembers, sendUpdates } from "./ping_members.ts";
import { recordPresence } from "./record_presence.ts";
import {
  forwardReports,
  handleReports,
  raiseApplied,
  reportApplied,
} from "./report_applied.ts";
import { publishSummary, relaySummaries } from "./publish_summary.ts";
import {
  MAX_JOINS_PER_TICK,
  type MembershipEffect,
  type MembershipEvent,
  type MembershipState,
} from "./state.ts";
import { summarizeDomain } from "./summarize_domain.ts";
import { compareSums, handleSync } from "./sync_rows.ts";
import { applyRow, recordPeer } from "./apply_row.ts";
import {
  applySummary,
  dropSummaries,
  handleDigests,
  type Receipt,
  sendSummaryTo,
} from "./apply_summary.ts";
import {
  answerActiveRequests,
  answerFloorRequest,
  handleFloor,
  requestFloor,
} from "./request_floor.ts";
import { admitMember, handleWelcome, joinKnownPeer } from "./admit_member.ts";

type Effects = readonly MembershipEffect[];
type Received = Extract<MembershipEvent, { type: "received" }>;

/** Applies one event to the state and returns the effects. */
export function decideMembership(
  state: MembershipState,
  event: MembershipEvent,
): Effects {
  switch (event.type) {
    case "ticked":
      return tick(state, event);
    case "received":
      return receive(state, event);
    case "announced":
      return announceUpstream(state, event.announcement, event.now);
    case "applied":
      state.applied = event.version;
      raiseApplied(state, state.self.id, event.version);
      return reportApplied(state);
    case "caught-up":
      return handleFloor(state, 0, true);
    case "head-reached":
      return answerActiveRequests(state, event.version);
    case "head-unknown":
      state.activeFloorRequests = undefined;
      return [];
    case "seeded":
      for (const seed of event.seeds) recordPeer(state, seed);
      return [];
    case "leaving":
      return leave(state, event.now);
    default:
      return exhausted(event);
  }
}

function tick(
  state: MembershipState,
  event: Extract<MembershipEvent, { type: "ticked" }>,
): Effects {
  const { now, random, presence } = event;
  state.ticks++;
  state.joinsLeft = MAX_JOINS_PER_TICK;
  if (state.isLeaving) return [];
  return [
    ...dropUnresponsiveUpstreams(state, now),
    ...dropSummaries(state, now),
    ...removeDeadMembers(state, now),
    ...pingMembers(state, { now, random }),
    ...sendUpdates(state),
    ...joinKnownPeer(state, random),
    ...requestFloor(state, random),
    ...forwardReports(state),
    ...relaySummaries(state, now),
    ...publishSummary(state),
    ...recordPresence(state, presence, now),
  ];
}

function leave(state: MembershipState, now: MonotonicMs): Effects {
  state.isLeaving = true;
  return sendOwnRow(state, now);
}

function receive(state: MembershipState, event: Received): Effects {
  const { message, from, now } = event;
  switch (message.type) {
    case "membership/join":
      return admitMember(state, from, message.row, now);
    case "membership/welcome":
      return handleWelcome(state, from, message.welcome, now);
    case "membership/rows":
      return handleRows(state, message, from, now);
    case "membership/ping":
      return answerPing(state, message, { from, now });
    case "membership/ack":
      state.unansweredPings.set(from, 0);
      raiseApplied(state, from, message.applied);
      return [];
    case "membership/sync":
      return handleSync(state, message, { from, now });
    case "membership/applied":
      handleReports(state, from, message.reports);
      return [];
    case "membership/summary":
      return applySummary(state, message, { from, now });
    case "membership/marks":
      return handleDigests(state, message, { from, now });
    case "membership/want-summary":
      return sendSummaryTo(state, summaryOf(state, message.domain), from);
    case "membership/want-floor":
      return answerFloorRequest(state, from, message.domain);
    case "membership/floor":
      return handleFloor(state, message.floor, message.isFresh);
    default:
      return exhausted(message);
  }
}

function handleRows(
  state: MembershipState,
  message: Extract<MembershipMessage, { type: "membership/rows" }>,
  from: NodeId,
  now: MonotonicMs,
): Effects {
  const effects = forwardBroadcast(state, message);
  for (const row of message.rows) {
    effects.push(...applyRow(state, { from, row, now }));
  }
  return effects;
}

function answerPing(
  state: MembershipState,
  message: Extract<MembershipMessage, { type: "membership/ping" }>,
  receipt: Receipt,
): Effects {
  const { from } = receipt;
  raiseApplied(state, from, message.applied);
  const { applied } = state;
  const effects: MembershipEffect[] = [];
  const departed = state.departed.get(from)?.row;
  if (departed !== undefined) {
    // A member that was declared dead here refutes when it receives its row.
    const rows = [departed];
    effects.push(send(from, { type: "membership/rows", rows, until: from }));
  }
  if (message.sums === null) {
    return [...effects, send(from, { type: "membership/ack", applied })];
  }
  return state.members.has(from)
    ? compareSums(state, message.sums, receipt)
    : effects;
}

function summaryOf(state: MembershipState, domain: string) {
  return domain === state.self.domain
    ? summarizeDomain(state)
    : state.summaries.get(domain)?.summary;
}
