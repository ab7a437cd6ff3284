/**
 * Merges domain summaries and their digests into the view. A summary of this
 * domain raises the applied versions of its members.
 * @module
 */
import type { MonotonicMs, NodeId } from "../core/types.ts";
import { indexDomain } from "./index_upstreams.ts";
import type {
  DomainSummary,
  MembershipMessage,
  SummaryDigest,
} from "./messages.ts";
import { forwardBroadcast, overlayOf, send } from "./overlay_of.ts";
import { raiseApplied } from "./report_applied.ts";
import {
  compareDigests,
  digestOfSummary,
  relaySummaries,
} from "./publish_summary.ts";
import type { MembershipEffect, MembershipState } from "./state.ts";
import { MAX_LAGGARDS } from "./summarize_domain.ts";

/**
 * Time after which another domain's summary is dropped unless the summary, or a
 * digest that matches it, is received again.
 */
export const SUMMARY_TTL_MS = 20_000;

/** Sender of a message, and the time of its receipt. */
export interface Receipt {
  readonly from: NodeId;
  readonly now: MonotonicMs;
}

/** Stores a summary if it is newer than the known one, and relays it. */
export function applySummary(
  state: MembershipState,
  message: Extract<MembershipMessage, { type: "membership/summary" }>,
  receipt: Receipt,
): MembershipEffect[] {
  const { summary, until } = message;
  const forwarded = forwardBroadcast(state, message);
  if (summary.domain === state.self.domain) {
    applyOwnSummary(state, summary);
    return forwarded;
  }
  const known = state.summaries.get(summary.domain)?.summary;
  if (known !== undefined && compareDigests(summary, known) <= 0) {
    return [...forwarded, ...sendNewerDigest(known, summary, receipt.from)];
  }
  indexDomain(state, known, summary);
  state.summaries.set(summary.domain, { summary, receivedAt: receipt.now });
  if (until === null) state.unrelayedSummaries.set(summary.domain, receipt.now);
  else state.unrelayedSummaries.delete(summary.domain);
  return [
    ...forwarded,
    ...sendToNewGateways(state, known, summary),
    ...relaySummaries(state, receipt.now),
    { type: "upstreams-changed" },
  ];
}

/**
 * Sends this domain's summary to gateways that are new in another domain's
 * summary, since they may lack it. Only the summary publisher does so.
 */
function sendToNewGateways(
  state: MembershipState,
  known: DomainSummary | undefined,
  summary: DomainSummary,
): MembershipEffect[] {
  const own = state.published.summary;
  const isPublisher = overlayOf(state).readers[0] === state.self.id;
  if (own === undefined || !isPublisher) return [];
  return summary.gateways.filter((to) => !known?.gateways.includes(to))
    .map((to) =>
      send(to, { type: "membership/summary", summary: own, until: null })
    );
}

/**
 * Answers an older summary with the digest of the newer summary. A restarted
 * publisher finds in the digest which revision it has to exceed.
 */
function sendNewerDigest(
  known: DomainSummary,
  received: SummaryDigest,
  from: NodeId,
): MembershipEffect[] {
  if (compareDigests(received, known) === 0) return [];
  const marks = [digestOfSummary(known)];
  return [send(from, { type: "membership/marks", marks, until: null })];
}

/**
 * Raises the applied versions of members from a summary of this domain: members
 * below `highest` are listed in it, and all others have `highest` in force. If
 * the list is full, the others have at least the lowest version, `applied`.
 */
function applyOwnSummary(state: MembershipState, summary: DomainSummary) {
  if (summary.revision < state.summaryRevision) return;
  state.summaryRevision = summary.revision;
  // A member that the publisher does not know yet must not be raised.
  if (summary.nodes !== state.members.size) return;
  const listed = new Map(
    summary.laggards.map((one) => [one.node, one.applied]),
  );
  const rest = listed.size < MAX_LAGGARDS ? summary.highest : summary.applied;
  for (const id of [...state.members.keys()]) {
    if (id !== state.self.id) raiseApplied(state, id, listed.get(id) ?? rest);
  }
}

/** Renews the summaries that the digests match, and requests newer ones. */
export function handleDigests(
  state: MembershipState,
  message: Extract<MembershipMessage, { type: "membership/marks" }>,
  receipt: Receipt,
): MembershipEffect[] {
  const effects = forwardBroadcast(state, message);
  for (const digest of message.marks) {
    if (digest.domain === state.self.domain) handleOwnDigest(state, digest);
    else effects.push(...handleDigest(state, digest, receipt));
  }
  return effects;
}

/**
 * Handles a digest of this domain that was published by another member: the
 * next revision has to exceed it. The publisher then sends its summary again.
 */
function handleOwnDigest(state: MembershipState, digest: SummaryDigest) {
  const self = state.self.id;
  const revision = state.summaryRevision;
  if (compareDigests(digest, { revision, speaker: self }) <= 0) return;
  state.summaryRevision = digest.revision;
  if (overlayOf(state).readers[0] !== self) return;
  state.published = { ...state.published, gatewayList: "" };
}

function handleDigest(
  state: MembershipState,
  digest: SummaryDigest,
  receipt: Receipt,
): MembershipEffect[] {
  const { domain } = digest;
  const known = state.summaries.get(domain);
  const order = known === undefined ? 1 : compareDigests(digest, known.summary);
  if (order > 0) {
    return [send(receipt.from, { type: "membership/want-summary", domain })];
  }
  if (known === undefined) return [];
  if (digest.revision < known.summary.revision) {
    return sendNewerDigest(known.summary, digest, receipt.from);
  }
  const { nodes, applied, highest } = digest;
  const summary = { ...known.summary, nodes, applied, highest };
  state.summaries.set(domain, { summary, receivedAt: receipt.now });
  return [];
}

/** Answers a peer's request for a summary, of this domain or of another. */
export function sendSummaryTo(
  state: MembershipState,
  summary: DomainSummary | undefined,
  to: NodeId,
): MembershipEffect[] {
  if (summary === undefined) return [];
  // A member must not relay it: the domain gets it by a broadcast.
  const until = state.members.has(to) ? to : null;
  return [send(to, { type: "membership/summary", summary, until })];
}

/** Drops summaries that were not renewed within `SUMMARY_TTL_MS`. */
export function dropSummaries(
  state: MembershipState,
  now: MonotonicMs,
): MembershipEffect[] {
  const effects: MembershipEffect[] = [];
  for (const [domain, known] of state.summaries) {
    if (now - known.receivedAt <= SUMMARY_TTL_MS) continue;
    state.summaries.delete(domain);
    state.unrelayedSummaries.delete(domain);
    indexDomain(state, known.summary, undefined);
    effects.push({ type: "upstreams-changed" });
  }
  return effects;
}
