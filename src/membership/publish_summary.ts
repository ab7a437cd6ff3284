/**
 * Tells the own domain and the others how this domain stands.
 *
 * The first reader speaks. Summaries of one domain are in a total order,
 * (revision, speaker), and whoever speaks goes past the greatest revision
 * that it has heard, so two who speak at once cannot disagree for long.
 * @module
 */
import type { MonotonicMs, NodeId } from "../core/types.ts";
import type { DomainSummary, SummaryDigest } from "./messages.ts";
import { broadcast, overlayOf, send } from "./overlay_of.ts";
import type { MembershipEffect, MembershipState } from "./state.ts";
import { summarizeDomain } from "./summarize_domain.ts";

/** Ticks between two confirmations of unchanged summaries. */
const markTicks = 5;

/** Ticks after which a node that nobody welcomed speaks for its domain. */
const settleTicks = 3;

/** Ticks between two changes of the services that are told abroad. */
const servicesTicks = 2;

/** Speaks of changes, and from time to time confirms what still holds. */
export function publishSummary(state: MembershipState): MembershipEffect[] {
  const { id } = state.self;
  // Whoever has just started may not know yet who else there is.
  const isNew = !state.hasJoined && state.ticks < settleTicks;
  if (isNew || overlayOf(state).readers[0] !== id) return [];
  const effects: MembershipEffect[] = [];
  const summary = summarizeDomain(state);
  const { applied, highest, nodes, laggards, gateways } = summary;
  const status = JSON.stringify([applied, highest, nodes, laggards]);
  const services = JSON.stringify(summary.services);
  const reach = gateways.join();
  const { spoken } = state;
  const isDue = state.ticks % servicesTicks === 0;
  const isOther = reach !== spoken.reach ||
    (isDue && services !== spoken.services);
  if (isOther) state.summaryRevision++;
  const newest = { ...summary, revision: state.summaryRevision };
  const isOtherStatus = status !== spoken.status;
  if (isOther) {
    state.spoken = { status, services, reach, summary: newest };
    effects.push(...tellAbroad(state, newest));
  } else if (isOtherStatus) {
    state.spoken = { ...spoken, status };
    // The services are the larger part, and an edit does not change them.
    effects.push(...markAbroad(state, newest));
  }
  const isConfirmed = state.ticks % markTicks === 0;
  if (isOther || isOtherStatus || isConfirmed) {
    effects.push(...tellOwnDomain(state, newest));
  }
  if (isConfirmed) effects.push(...confirm(state, newest));
  return effects;
}

function tellOwnDomain(
  state: MembershipState,
  summary: DomainSummary,
): MembershipEffect[] {
  // Members know the services of their domain row by row.
  const short = { ...summary, services: [] };
  const until = state.self.id;
  const message = { type: "membership/summary", until } as const;
  return broadcast(state, { ...message, summary: short });
}

function tellAbroad(
  state: MembershipState,
  summary: DomainSummary,
): MembershipEffect[] {
  return remoteGateways(state).map((to) =>
    send(to, { type: "membership/summary", summary, until: null })
  );
}

/** Gateways of every other domain. */
export function remoteGateways(state: MembershipState): NodeId[] {
  const all = [...state.summaries.values()].flatMap((known) =>
    known.summary.gateways
  );
  return [...new Set(all)].filter((id) => !state.members.has(id));
}

function markAbroad(
  state: MembershipState,
  summary: DomainSummary,
): MembershipEffect[] {
  const marks = [digestOfSummary(summary)];
  return remoteGateways(state).map((to) =>
    send(to, { type: "membership/marks", marks, until: null })
  );
}

function confirm(
  state: MembershipState,
  own: DomainSummary,
): MembershipEffect[] {
  const marks = [...state.summaries.values()].map(({ summary }) =>
    digestOfSummary(summary)
  );
  const toAbroad = markAbroad(state, own);
  if (marks.length === 0) return toAbroad;
  const until = state.self.id;
  return [
    ...toAbroad,
    ...broadcast(state, { type: "membership/marks", marks, until }),
  ];
}

/** The mark of a summary. */
export function digestOfSummary(summary: DomainSummary): SummaryDigest {
  const { domain, revision, speaker, nodes, applied, highest } = summary;
  return { domain, revision, speaker, nodes, applied, highest };
}

/** The part of a mark that orders it. */
type MarkOrder = Pick<SummaryDigest, "revision" | "speaker">;

/** Negative when `a` is older than `b`, 0 when they are the same. */
export function compareDigests(a: MarkOrder, b: MarkOrder): number {
  if (a.revision !== b.revision) return a.revision - b.revision;
  return a.speaker === b.speaker ? 0 : a.speaker < b.speaker ? -1 : 1;
}

/** Time after which any member relays what the first reader has not. */
export const RELAY_BACKUP_MS = 1_500;

/** Broadcasts summaries from abroad that nobody has broadcast here. */
export function relaySummaries(
  state: MembershipState,
  now: MonotonicMs,
): MembershipEffect[] {
  const isFirst = overlayOf(state).readers[0] === state.self.id;
  const effects: MembershipEffect[] = [];
  for (const [domain, since] of state.unrelayed) {
    if (!isFirst && now - since < RELAY_BACKUP_MS) continue;
    state.unrelayed.delete(domain);
    const summary = state.summaries.get(domain)?.summary;
    if (summary === undefined) continue;
    const until = state.self.id;
    const message = { type: "membership/summary", summary, until } as const;
    effects.push(...broadcast(state, message));
  }
  return effects;
}
