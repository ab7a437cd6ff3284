/**
 * How a node finds its domain, and what it learns of the others.
 * @module
 */
import type { MonotonicMs, NodeId } from "../core/types.ts";
import type { MemberRow, Welcome } from "./messages.ts";
import { ownRow } from "./own_row.ts";
import { overlayOf, send } from "./overlay_of.ts";
import type { MembershipEffect, MembershipState } from "./state.ts";
import { applyRow, findContradiction, recordPeer } from "./apply_row.ts";
import { applySummary } from "./apply_summary.ts";

/** Ticks between two attempts to find lost parts of the fleet. */
const seekTicks = 5;

/**
 * Presents this node to one peer that is no member: at each tick until it has
 * company, then now and then by the domain's readers, which also joins the
 * halves of a healed domain. Each half has readers of its own.
 */
export function discoverPeers(
  state: MembershipState,
  random: number,
): MembershipEffect[] {
  const hasCompany = state.hasJoined || state.members.size > 1;
  const isReader = overlayOf(state).readers.includes(state.self.id);
  const isDue = isReader && state.ticks % seekTicks === 0;
  if (hasCompany && !isDue) return [];
  const known = [...state.seeds, ...state.met, ...state.departed.keys()];
  const strangers = [...new Set(known)].filter((id) => !state.members.has(id));
  const to = strangers[Math.floor(random * strangers.length)];
  if (to === undefined) return [];
  return [send(to, { type: "membership/join", row: ownRow(state) })];
}

/** Answers a node that presents itself, and tells the domain of a new one. */
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
  // A newcomer that is not answered comes again; nothing is noted of it.
  if (state.welcomesLeft === 0) return [];
  state.welcomesLeft--;
  const isOwnDomain = row.info.domain === state.self.domain;
  const departed = state.departed.get(row.info.id)?.row;
  const isMember = state.members.has(row.info.id);
  const effects = applyRow(state, { from, row, now });
  recordPeer(state, from);
  if (isOwnDomain && !isMember && state.members.has(row.info.id)) {
    state.news.push(row);
  }
  const rows = isOwnDomain
    ? [...state.members.values()].map((known) => known.row)
    : [];
  // A member declared dead here hears of it and refutes.
  const isBuried = state.departed.has(row.info.id) && departed !== undefined;
  if (isBuried) rows.push(departed);
  const welcome = {
    domain: state.self.domain,
    rows,
    summaries: [...state.summaries.values()].map((known) => known.summary),
  };
  return [...effects, send(from, { type: "membership/welcome", welcome })];
}

/** Takes what a peer knows of the domain and of the others. */
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
    // Another domain may know this one better than its newcomers do.
    if (summary.domain === state.self.domain) {
      for (const peer of summary.gateways) recordPeer(state, peer);
      continue;
    }
    const until = state.self.id;
    const message = { type: "membership/summary", summary, until } as const;
    const taken = applySummary(state, message, { from, now });
    // The domain has them already; this is for a newcomer alone.
    effects.push(...taken.filter((one) => one.type !== "send"));
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
