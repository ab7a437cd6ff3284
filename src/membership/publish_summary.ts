/**
 * Publishes this domain's summary to its members and to the other domains.
 *
 * The first reader is the summary publisher. Summaries of one domain are in a
 * total order, (revision, speaker), where `speaker` is the publishing node. A
 * publisher exceeds the greatest revision that it has received, so two nodes
 * that publish at the same time converge.
 * @module
 */
import type { MonotonicMs, NodeId } from "../core/types.ts";
import type { DomainSummary, SummaryDigest } from "./messages.ts";
import { broadcast, overlayOf, send } from "./overlay_of.ts";
import type { MembershipEffect, MembershipState } from "./state.ts";
import { summarizeDomain } from "./summarize_domain.ts";

/** Ticks between two sends of the digests that renew unchanged summaries. */
const CONFIRM_INTERVAL_TICKS = 5;

/** Ticks after which a node whose join was not answered publishes a summary. */
const SETTLE_TICKS = 3;

/** Ticks between two updates of the services that other domains receive. */
const SERVICES_INTERVAL_TICKS = 2;

/** Publishes changes of the summary, and renews it at intervals. */
export function publishSummary(state: MembershipState): MembershipEffect[] {
  const { id } = state.self;
  // A node that has just started may not know the other members yet.
  const isNew = !state.hasJoined && state.ticks < SETTLE_TICKS;
  if (isNew || overlayOf(state).readers[0] !== id) return [];
  const effects: MembershipEffect[] = [];
  const summary = summarizeDomain(state);
  const { applied, highest, nodes, laggards, gateways } = summary;
  const status = JSON.stringify([applied, highest, nodes, laggards]);
  const services = JSON.stringify(summary.services);
  const gatewayList = gateways.join();
  const { published } = state;
  const isServicesDue = state.ticks % SERVICES_INTERVAL_TICKS === 0;
  const isChanged = gatewayList !== published.gatewayList ||
    (isServicesDue && services !== published.services);
  if (isChanged) state.summaryRevision++;
  const newest = { ...summary, revision: state.summaryRevision };
  const isStatusChanged = status !== published.status;
  if (isChanged) {
    state.published = { status, services, gatewayList, summary: newest };
    effects.push(...sendToRemoteGateways(state, newest));
  } else if (isStatusChanged) {
    state.published = { ...published, status };
    // A digest is enough: a configuration edit does not change the services,
    // which are the larger part of a summary.
    effects.push(...sendDigestToRemotes(state, newest));
  }
  const isConfirmationDue = state.ticks % CONFIRM_INTERVAL_TICKS === 0;
  if (isChanged || isStatusChanged || isConfirmationDue) {
    effects.push(...sendToOwnDomain(state, newest));
  }
  if (isConfirmationDue) effects.push(...confirmSummaries(state, newest));
  return effects;
}

function sendToOwnDomain(
  state: MembershipState,
  summary: DomainSummary,
): MembershipEffect[] {
  // Members have the services of their domain from the rows.
  const withoutServices = { ...summary, services: [] };
  const until = state.self.id;
  const message = { type: "membership/summary", until } as const;
  return broadcast(state, { ...message, summary: withoutServices });
}

function sendToRemoteGateways(
  state: MembershipState,
  summary: DomainSummary,
): MembershipEffect[] {
  return remoteGateways(state).map((to) =>
    send(to, { type: "membership/summary", summary, until: null })
  );
}

/** Returns the gateways of every other domain. */
export function remoteGateways(state: MembershipState): NodeId[] {
  const all = [...state.summaries.values()].flatMap((known) =>
    known.summary.gateways
  );
  return [...new Set(all)].filter((id) => !state.members.has(id));
}

function sendDigestToRemotes(
  state: MembershipState,
  summary: DomainSummary,
): MembershipEffect[] {
  const marks = [digestOfSummary(summary)];
  return remoteGateways(state).map((to) =>
    send(to, { type: "membership/marks", marks, until: null })
  );
}

function confirmSummaries(
  state: MembershipState,
  own: DomainSummary,
): MembershipEffect[] {
  const marks = [...state.summaries.values()].map(({ summary }) =>
    digestOfSummary(summary)
  );
  const toRemotes = sendDigestToRemotes(state, own);
  if (marks.length === 0) return toRemotes;
  const until = state.self.id;
  return [
    ...toRemotes,
    ...broadcast(state, { type: "membership/marks", marks, until }),
  ];
}

/** Returns the digest of a summary. */
export function digestOfSummary(summary: DomainSummary): SummaryDigest {
  const { domain, revision, speaker, nodes, applied, highest } = summary;
  return { domain, revision, speaker, nodes, applied, highest };
}

/** The fields of a digest that order it. */
type DigestOrder = Pick<SummaryDigest, "revision" | "speaker">;

/** Returns a negative number if `a` is older than `b`, 0 if they are equal. */
export function compareDigests(a: DigestOrder, b: DigestOrder): number {
  if (a.revision !== b.revision) return a.revision - b.revision;
  return a.speaker === b.speaker ? 0 : a.speaker < b.speaker ? -1 : 1;
}

/**
 * Time after which any member that received a summary of another domain relays
 * it to this domain, if the first reader has not done so.
 */
export const RELAY_BACKUP_MS = 1_500;

/** Broadcasts summaries of other domains that no member has broadcast here. */
export function relaySummaries(
  state: MembershipState,
  now: MonotonicMs,
): MembershipEffect[] {
  const isFirst = overlayOf(state).readers[0] === state.self.id;
  const effects: MembershipEffect[] = [];
  for (const [domain, since] of state.unrelayedSummaries) {
    if (!isFirst && now - since < RELAY_BACKUP_MS) continue;
    state.unrelayedSummaries.delete(domain);
    const summary = state.summaries.get(domain)?.summary;
    if (summary === undefined) continue;
    const until = state.self.id;
    const message = { type: "membership/summary", summary, until } as const;
    effects.push(...broadcast(state, message));
  }
  return effects;
}
