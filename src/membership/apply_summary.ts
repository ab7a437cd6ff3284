/**
 * Takes summaries of domains, of the own one for its members' versions.
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

/** A summary that nobody confirms for so long is dropped. */
export const SUMMARY_TTL_MS = 20_000;

/** Who sent a message, and when it came. */
export interface Receipt {
  readonly from: NodeId;
  readonly now: MonotonicMs;
}

/** Takes a summary that is newer than the one known, and relays it. */
export function applySummary(
  state: MembershipState,
  message: Extract<MembershipMessage, { type: "membership/summary" }>,
  heard: Receipt,
): MembershipEffect[] {
  const { summary, until } = message;
  const passed = forwardBroadcast(state, message);
  if (summary.domain === state.self.domain) {
    takeOwnSummary(state, summary);
    return passed;
  }
  const known = state.summaries.get(summary.domain)?.summary;
  if (known !== undefined && compareDigests(summary, known) <= 0) {
    return [...passed, ...answerOlder(known, summary, heard.from)];
  }
  indexDomain(state, known, summary);
  state.summaries.set(summary.domain, { summary, receivedAt: heard.now });
  if (until === null) state.unrelayed.set(summary.domain, heard.now);
  else state.unrelayed.delete(summary.domain);
  return [
    ...passed,
    ...answerNewGateways(state, known, summary),
    ...relaySummaries(state, heard.now),
    { type: "upstreams-changed" },
  ];
}

/** Gateways that are new may not have heard how this domain stands. */
function answerNewGateways(
  state: MembershipState,
  known: DomainSummary | undefined,
  summary: DomainSummary,
): MembershipEffect[] {
  const own = state.spoken.summary;
  const isSpeaker = overlayOf(state).readers[0] === state.self.id;
  if (own === undefined || !isSpeaker) return [];
  return summary.gateways.filter((to) => !known?.gateways.includes(to))
    .map((to) =>
      send(to, { type: "membership/summary", summary: own, until: null })
    );
}

/** A speaker that lost its memory learns how far it has to go. */
function answerOlder(
  known: DomainSummary,
  heard: SummaryDigest,
  from: NodeId,
): MembershipEffect[] {
  if (compareDigests(heard, known) === 0) return [];
  const marks = [digestOfSummary(known)];
  return [send(from, { type: "membership/marks", marks, until: null })];
}

/** Members below `highest` are named; the rest have it in force. */
function takeOwnSummary(state: MembershipState, summary: DomainSummary) {
  if (summary.revision < state.summaryRevision) return;
  state.summaryRevision = summary.revision;
  // A member that the speaker does not know yet must not be counted in.
  if (summary.nodes !== state.members.size) return;
  const named = new Map(
    summary.laggards.map((one) => [one.node, one.applied]),
  );
  const rest = named.size < MAX_LAGGARDS ? summary.highest : summary.applied;
  for (const id of [...state.members.keys()]) {
    if (id !== state.self.id) raiseApplied(state, id, named.get(id) ?? rest);
  }
}

/** Confirms the summaries that are marked, and asks for those missed. */
export function handleDigests(
  state: MembershipState,
  message: Extract<MembershipMessage, { type: "membership/marks" }>,
  heard: Receipt,
): MembershipEffect[] {
  const effects = forwardBroadcast(state, message);
  for (const mark of message.marks) {
    if (mark.domain === state.self.domain) takeOwnMark(state, mark);
    else effects.push(...takeMark(state, mark, heard));
  }
  return effects;
}

/** Another summary of this domain is abroad: the next has to go past it. */
function takeOwnMark(state: MembershipState, mark: SummaryDigest) {
  const speaker = state.self.id;
  const revision = state.summaryRevision;
  if (compareDigests(mark, { revision, speaker }) <= 0) return;
  state.summaryRevision = mark.revision;
  if (overlayOf(state).readers[0] !== speaker) return;
  state.spoken = { ...state.spoken, reach: "" };
}

function takeMark(
  state: MembershipState,
  mark: SummaryDigest,
  heard: Receipt,
): MembershipEffect[] {
  const { domain } = mark;
  const known = state.summaries.get(domain);
  const order = known === undefined ? 1 : compareDigests(mark, known.summary);
  if (order > 0) {
    return [send(heard.from, { type: "membership/want-summary", domain })];
  }
  if (known === undefined) return [];
  if (mark.revision < known.summary.revision) {
    return answerOlder(known.summary, mark, heard.from);
  }
  const { nodes, applied, highest } = mark;
  const summary = { ...known.summary, nodes, applied, highest };
  state.summaries.set(domain, { summary, receivedAt: heard.now });
  return [];
}

/** Answers a peer that missed a summary, of this domain or of another. */
export function sendSummaryTo(
  state: MembershipState,
  summary: DomainSummary | undefined,
  to: NodeId,
): MembershipEffect[] {
  if (summary === undefined) return [];
  // A member hears it from within, so it need not relay it.
  const until = state.members.has(to) ? to : null;
  return [send(to, { type: "membership/summary", summary, until })];
}

/** Drops the summaries that nobody confirms. */
export function dropSummaries(
  state: MembershipState,
  now: MonotonicMs,
): MembershipEffect[] {
  const effects: MembershipEffect[] = [];
  for (const [domain, known] of state.summaries) {
    if (now - known.receivedAt <= SUMMARY_TTL_MS) continue;
    state.summaries.delete(domain);
    state.unrelayed.delete(domain);
    indexDomain(state, known.summary, undefined);
    effects.push({ type: "upstreams-changed" });
  }
  return effects;
}
