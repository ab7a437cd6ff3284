/**
 * Keeps the view of members, homes and other domains.
 * @module
 */
import { exhausted } from "../core/exhausted.ts";
import {
  type Announcement,
  EndpointState,
  type MonotonicMs,
  type NodeId,
} from "../core/types.ts";
import { pickReaders } from "../distribution/pick_readers.ts";
import {
  type DomainSummary,
  type MemberRow,
  MemberStatus,
} from "./messages.ts";
import type {
  MembershipEffect,
  MembershipEvent,
  MembershipState,
} from "./state.ts";
import { summarizeDomain } from "./summarize_domain.ts";

/** A member unheard for this long is taken for dead. */
export const deadAfterMs = 4_000;

/** An upstream that has not repeated its announcement is gone. */
export const announcementTtlMs = 3_000;

/** A summary older than this is dropped. */
const summaryTtlMs = 10_000;

/** Takes one event of membership in turn. */
export function decideMembership(
  state: MembershipState,
  event: MembershipEvent,
): readonly MembershipEffect[] {
  switch (event.type) {
    case "ticked":
      return tick(state, event.now);
    case "received":
      return receive(state, event);
    case "announced":
      return announce(state, event.announcement, event.now);
    case "applied":
      state.applied = event.version;
      refreshOwnRow(state, event.now);
      return [];
    case "seeded":
      state.seeds = [...new Set([...state.seeds, ...event.seeds])];
      return [];
    case "leaving":
      state.isLeaving = true;
      refreshOwnRow(state, event.now);
      return tellMembers(state, [ownRow(state)]);
    default:
      return exhausted(event);
  }
}

function tick(
  state: MembershipState,
  now: MonotonicMs,
): readonly MembershipEffect[] {
  const isChanged = dropSilent(state, now);
  refreshOwnRow(state, now);
  const effects = [...tellMembers(state, [ownRow(state)])];
  effects.push(...tellSeeds(state), ...tellOtherDomains(state));
  if (isChanged) effects.push({ type: "upstreams-changed" });
  return effects;
}

function dropSilent(state: MembershipState, now: MonotonicMs): boolean {
  let isChanged = false;
  for (const [id, endpoint] of state.own) {
    if (now - endpoint.heardAt <= announcementTtlMs) continue;
    state.own.delete(id);
    isChanged = true;
  }
  for (const [id, member] of state.members) {
    if (id === state.self.id || now - member.heardAt <= deadAfterMs) continue;
    state.members.delete(id);
    isChanged = true;
  }
  for (const [domain, known] of state.summaries) {
    if (now - known.heardAt <= summaryTtlMs) continue;
    state.summaries.delete(domain);
    isChanged = true;
  }
  return isChanged;
}

function refreshOwnRow(state: MembershipState, now: MonotonicMs) {
  state.revision++;
  const row: MemberRow = {
    info: state.self,
    incarnation: state.incarnation,
    revision: state.revision,
    status: state.isLeaving ? MemberStatus.Left : MemberStatus.Alive,
    endpoints: [...state.own.values()].map((one) => one.announcement),
    applied: state.applied,
  };
  state.members.set(state.self.id, { row, heardAt: now });
}

function ownRow(state: MembershipState): MemberRow {
  const known = state.members.get(state.self.id);
  if (known === undefined) throw new Error("own row is missing");
  return known.row;
}

function tellMembers(
  state: MembershipState,
  rows: readonly MemberRow[],
): MembershipEffect[] {
  return [...state.members.keys()].filter((id) => id !== state.self.id)
    .map((to) => send(to, rows));
}

function tellSeeds(state: MembershipState): MembershipEffect[] {
  return state.seeds
    .filter((id) => id !== state.self.id && !state.members.has(id))
    .map((to) => send(to, [ownRow(state)]));
}

function send(to: NodeId, rows: readonly MemberRow[]): MembershipEffect {
  return { type: "send", to, message: { type: "membership/rows", rows } };
}

function tellOtherDomains(state: MembershipState): MembershipEffect[] {
  const { id, domain } = state.self;
  if (!pickReaders(aliveIds(state), domain).includes(id)) return [];
  state.summaryRevision++;
  const summary = summarizeDomain(state);
  const gateways = [...state.summaries.values()].flatMap((known) =>
    known.summary.gateways
  );
  const targets = new Set([...state.seeds, ...gateways]);
  return [...targets].filter((to) => !state.members.has(to)).map((to) => ({
    type: "send",
    to,
    message: { type: "membership/summary", summary },
  }));
}

/** Live members of the own domain, the node itself included. */
export function aliveIds(state: MembershipState): NodeId[] {
  return [...state.members.values()]
    .filter((known) => known.row.status === MemberStatus.Alive)
    .map((known) => known.row.info.id);
}

function receive(
  state: MembershipState,
  event: Extract<MembershipEvent, { type: "received" }>,
): readonly MembershipEffect[] {
  const { message, from, now } = event;
  switch (message.type) {
    case "membership/rows":
      return message.rows.flatMap((row) => takeRow(state, from, row, now));
    case "membership/summary":
      return takeSummary(state, from, message.summary, now);
    default:
      return exhausted(message);
  }
}

function takeRow(
  state: MembershipState,
  from: NodeId,
  row: MemberRow,
  now: MonotonicMs,
): MembershipEffect[] {
  if (row.info.id === state.self.id) return refute(state, from, row);
  // A seed may belong to another domain: it answers with its summary.
  if (row.info.domain !== state.self.domain) {
    state.seeds = [...new Set([...state.seeds, row.info.id])];
    return [];
  }
  const known = state.members.get(row.info.id);
  if (known !== undefined && !isNewer(row, known.row)) return [];
  if (known === undefined && row.status === MemberStatus.Left) return [];
  state.members.set(row.info.id, { row, heardAt: now });
  const effects: MembershipEffect[] = [];
  if (known === undefined) {
    const rows = [...state.members.values()].map((one) => one.row);
    effects.push(send(row.info.id, rows));
  }
  if (!hasSameUpstreams(known?.row, row)) {
    effects.push({ type: "upstreams-changed" });
  }
  return effects;
}

/** A row of this node by another process has to be overruled. */
function refute(
  state: MembershipState,
  from: NodeId,
  row: MemberRow,
): MembershipEffect[] {
  if (row.info.domain !== state.self.domain) {
    const reason = `this node is in ${state.self.domain}, but ${from} holds ` +
      `it in ${row.info.domain}`;
    return [{ type: "refuse-peer", peer: from, reason }];
  }
  if (row.info.boot === state.self.boot) return [];
  if (row.incarnation >= state.incarnation) {
    state.incarnation = row.incarnation + 1;
  }
  return [];
}

function isNewer(row: MemberRow, known: MemberRow): boolean {
  if (row.incarnation !== known.incarnation) {
    return row.incarnation > known.incarnation;
  }
  return row.revision > known.revision;
}

function hasSameUpstreams(
  known: MemberRow | undefined,
  row: MemberRow,
): boolean {
  return known !== undefined && upstreamsOf(known) === upstreamsOf(row);
}

function upstreamsOf(row: MemberRow): string {
  const endpoints = row.endpoints.map((one) =>
    `${one.endpoint} ${one.service}@${one.version} ${one.state}`
  );
  return `${row.status} ${endpoints.join()}`;
}

function takeSummary(
  state: MembershipState,
  from: NodeId,
  summary: DomainSummary,
  now: MonotonicMs,
): MembershipEffect[] {
  if (summary.domain === state.self.domain) return [];
  const known = state.summaries.get(summary.domain);
  if (known !== undefined && known.summary.revision >= summary.revision) {
    return [];
  }
  state.summaries.set(summary.domain, { summary, heardAt: now });
  const effects: MembershipEffect[] = [{ type: "upstreams-changed" }];
  // The first to hear it from outside passes it on within the domain.
  if (!state.members.has(from)) {
    const others = [...state.members.keys()].filter((id) =>
      id !== state.self.id
    );
    for (const to of others) {
      const message = { type: "membership/summary", summary } as const;
      effects.push({ type: "send", to, message });
    }
  }
  return effects;
}

function announce(
  state: MembershipState,
  announcement: Announcement,
  now: MonotonicMs,
): readonly MembershipEffect[] {
  const known = state.own.get(announcement.endpoint);
  const isReadyBefore = known?.announcement.state === EndpointState.Ready;
  state.own.set(announcement.endpoint, {
    announcement,
    heardAt: now,
    readySince: isReadyBefore ? known.readySince : now,
  });
  if (
    known !== undefined && known.announcement.state === announcement.state &&
    known.announcement.version === announcement.version
  ) return [];
  refreshOwnRow(state, now);
  return [
    ...tellMembers(state, [ownRow(state)]),
    { type: "upstreams-changed" },
  ];
}
