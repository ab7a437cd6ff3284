/**
 * Joining: how a node finds members of its domain, and how members answer.
 * @module
 */
import type { MonotonicMs, NodeId } from "../core/types.ts";
import type { MemberRow, Welcome } from "./messages.ts";
import { ownRow } from "./own_row.ts";
import { overlayOf, send } from "./overlay_of.ts";
import type { MembershipEffect, MembershipState } from "./state.ts";
import { applyRow, findContradiction, recordPeer } from "./apply_row.ts";
import { applySummary } from "./apply_summary.ts";

/** Ticks between two joins that a reader sends, to find unknown members. */
const DISCOVERY_INTERVAL_TICKS = 5;

/**
 * Sends a join to a known address that is not a member. A node without other
 * members does so at each tick; later only the domain's readers do, at
 * intervals. This also merges the halves of a domain after a network partition,
 * since each half picks readers among its members.
 */
export function joinKnownPeer(
  state: MembershipState,
  random: number,
): MembershipEffect[] {
  const hasMembers = state.hasJoined || state.members.size > 1;
  const isReader = overlayOf(state).readers.includes(state.self.id);
  const isDue = isReader && state.ticks % DISCOVERY_INTERVAL_TICKS === 0;
  if (hasMembers && !isDue) return [];
  const known = [...state.seeds, ...state.knownPeers, ...state.departed.keys()];
  const candidates = [...new Set(known)].filter((id) => !state.members.has(id));
  const to = candidates[Math.floor(random * candidates.length)];
  if (to === undefined) return [];
  return [send(to, { type: "membership/join", row: ownRow(state) })];
}

/**
 * Answers a join, and queues a new member's row for broadcast to the domain.
 */
export function admitMember(
  state: MembershipState,
  from: NodeId,
  row: MemberRow,
  now: MonotonicMs,
): MembershipEffect[] {
  const reason = findContradiction(state, row.info);
  if (reason !== undefined) {
    return [{ type: "refuse-peer", peer: from, reason }];
  }
  // A node whose join is not answered sends it again, so no state is kept.
  if (state.joinsLeft === 0) return [];
  state.joinsLeft--;
  const isOwnDomain = row.info.domain === state.self.domain;
  const departed = state.departed.get(row.info.id)?.row;
  const isMember = state.members.has(row.info.id);
  const effects = applyRow(state, { from, row, now });
  recordPeer(state, from);
  if (isOwnDomain && !isMember && state.members.has(row.info.id)) {
    state.pendingRows.push(row);
  }
  const rows = isOwnDomain
    ? [...state.members.values()].map((known) => known.row)
    : [];
  // A member that was declared dead here refutes when it receives its row.
  const isStillDeparted = state.departed.has(row.info.id) &&
    departed !== undefined;
  if (isStillDeparted) rows.push(departed);
  const welcome = {
    domain: state.self.domain,
    rows,
    summaries: [...state.summaries.values()].map((known) => known.summary),
  };
  return [...effects, send(from, { type: "membership/welcome", welcome })];
}

/** Merges a peer's view of this domain and of the others. */
export function handleWelcome(
  state: MembershipState,
  from: NodeId,
  welcome: Welcome,
  now: MonotonicMs,
): MembershipEffect[] {
  const effects: MembershipEffect[] = [];
  for (const row of welcome.rows) {
    effects.push(...applyRow(state, { from, row, now }));
  }
  for (const summary of welcome.summaries) {
    // Another domain may know gateways of this domain that a new node lacks.
    if (summary.domain === state.self.domain) {
      for (const peer of summary.gateways) recordPeer(state, peer);
      continue;
    }
    const until = state.self.id;
    const message = { type: "membership/summary", summary, until } as const;
    const summaryEffects = applySummary(state, message, { from, now });
    // Other members have these summaries, so this node forwards nothing.
    effects.push(...summaryEffects.filter((one) => one.type !== "send"));
  }
  const { domain } = welcome;
  if (domain === state.self.domain) state.hasJoined = true;
  else {
    recordPeer(state, from);
    if (!state.summaries.has(domain)) {
      effects.push(send(from, { type: "membership/want-summary", domain }));
    }
  }
  return effects;
}
