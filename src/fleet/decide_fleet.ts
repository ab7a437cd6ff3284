/**
 * Merges what nodes say of themselves and of lost nodes, and decides what to
 * forward and which nodes to keep links to.
 *
 * Each node forwards a change once, when it learns of it, to its neighbors.
 * @module
 */
import { exhausted } from "../core/exhausted.ts";
import type { MonotonicMs, NodeId } from "../core/types.ts";
import { applyLost, clearLost, reportLost } from "./apply_lost.ts";
import { applyRows, isLaterLife, storeRow } from "./apply_rows.ts";
import { differingDomains, digestRows } from "./digest_rows.ts";
import { MAX_DIAL_FAILURES, planLinks } from "./plan_links.ts";
import {
  forgetDemands,
  recordDemand,
  recordServices,
} from "./record_demand.ts";
import {
  type FleetEffect,
  type FleetEvent,
  type FleetState,
  type Member,
  ownRow,
} from "./state.ts";
import type { LostNotice, NodeRow } from "./messages.ts";

/**
 * Time after which a lost node is removed, in milliseconds. Regions lose each
 * other for an hour at times, and have to find each other again without the
 * store. A replaced VM never returns to its address.
 */
export const FORGET_AFTER_MS = 7_200_000;

/** Time after which a node that could not be reached is tried again. */
const RETRY_NODE_AFTER_MS = 30_000;

/** Longest time between two plans of the links. */
const PLAN_INTERVAL_MS = 1_000;

/** Applies one event to the fleet and returns the effects to carry out. */
export function decideFleet(
  state: FleetState,
  event: FleetEvent,
): readonly FleetEffect[] {
  switch (event.type) {
    case "row-changed":
      return changeOwnRow(state, event);
    case "rows-received":
      return applyRows(state, event);
    case "nodes-found":
      return addSeeds(state, event.nodes);
    case "confirmed":
      return confirm(state, event.row, event.now);
    case "hello-received":
      return handleHello(state, event.row, event.now);
    case "suspected":
      return requestRow(state, event.node);
    case "unlinked":
      unlink(state, event.node);
      return [];
    case "dial-failed":
      return countFailure(state, event.node, event.now);
    case "lost-received":
      return applyLost(state, event);
    case "digest-received":
      return compareDigests(state, event);
    case "evacuations-changed":
      state.evacuated = new Set(event.domains);
      state.isIndexStale = true;
      state.isPlanStale = true;
      return [];
    case "services-listed":
      recordServices(state, event.services, event.now);
      return [];
    case "called":
      recordDemand(state, event);
      return [];
    case "ticked":
      return tick(state, event);
    default:
      return exhausted(event);
  }
}

function changeOwnRow(
  state: FleetState,
  event: Extract<FleetEvent, { type: "row-changed" }>,
): readonly FleetEffect[] {
  const { endpoint, gone, now } = event;
  const { revision, ...rest } = ownRow(state);
  const row = { ...rest, endpoint, gone, revision: revision + 1 };
  state.rows.set(state.self, { row, receivedAt: now });
  state.isIndexStale = true;
  return [{ type: "send-own-row", row }];
}

function addSeeds(
  state: FleetState,
  nodes: readonly Member[],
): readonly FleetEffect[] {
  for (const { node, domain } of nodes) {
    if (node === state.self || state.rows.has(node)) continue;
    state.seeds.set(node, domain);
    state.isPlanStale = true;
  }
  return [];
}

function confirm(
  state: FleetState,
  row: NodeRow,
  now: MonotonicMs,
): readonly FleetEffect[] {
  const { node } = row;
  if (node === state.self) return [];
  const known = state.rows.get(node)?.row;
  const isNews = known?.life !== row.life || row.revision > known.revision;
  const isOutdated = known !== undefined && known.life !== row.life &&
    isLaterLife(known, row);
  if (isNews) storeRow(state, row, now);
  if (!state.linked.has(node)) {
    state.linked.add(node);
    state.isIndexStale = true;
  }
  state.failures.delete(node);
  return [
    ...clearLost(state, row),
    ...(isNews ? [forward(row, node)] : []),
    ...(isOutdated ? [correct(node, known)] : []),
  ];
}

/**
 * Applies the row of a process that opened a link to this node. If it is not
 * the process of the link from this node, that link may lead to an earlier
 * process.
 */
function handleHello(
  state: FleetState,
  row: NodeRow,
  now: MonotonicMs,
): readonly FleetEffect[] {
  const { node } = row;
  const known = state.rows.get(node)?.row;
  const effects = known?.life === row.life ? [] : requestRow(state, node);
  const applied = applyRows(state, { rows: [row], from: node, now });
  const isOutdated = known !== undefined && known.life !== row.life &&
    isLaterLife(known, row);
  const mark = state.lost.get(node);
  const isLost = mark?.life === row.life && mark.revision >= row.revision;
  return [
    ...effects,
    ...applied,
    ...(isOutdated ? [correct(node, known)] : []),
    ...(isLost ? [correct(node, undefined, mark)] : []),
  ];
}

/** Stops sending calls to a node until it has sent its row again. */
function requestRow(
  state: FleetState,
  node: NodeId,
): readonly FleetEffect[] {
  if (!unlink(state, node)) return [];
  return [{ type: "send-hello", node }];
}

function unlink(state: FleetState, node: NodeId): boolean {
  if (!state.linked.delete(node)) return false;
  state.isIndexStale = true;
  return true;
}

function countFailure(
  state: FleetState,
  node: NodeId,
  now: MonotonicMs,
): readonly FleetEffect[] {
  const known = state.failures.get(node);
  const count = (known?.count ?? 0) + 1;
  const isUnreachable = count >= MAX_DIAL_FAILURES;
  const mayReport = now - (known?.reportedAt ?? -Infinity) >=
    RETRY_NODE_AFTER_MS;
  const isReported = isUnreachable && mayReport && state.rows.has(node);
  state.failures.set(node, {
    count,
    retryAt: now + RETRY_NODE_AFTER_MS,
    reportedAt: isReported ? now : known?.reportedAt ?? -Infinity,
  });
  // A node of which only the address is known is replaced after one attempt.
  if (isUnreachable || !state.rows.has(node)) state.isPlanStale = true;
  return isReported ? reportLost(state, node, now) : [];
}

function compareDigests(
  state: FleetState,
  event: Extract<FleetEvent, { type: "digest-received" }>,
): readonly FleetEffect[] {
  const { from, domains, isAnswer } = event;
  const own = digestRows(state);
  const missing = differingDomains(own, domains);
  // The peer requests the rows that it lacks in turn.
  const isAnswerDue = !isAnswer && differingDomains(domains, own).length > 0;
  const effects: FleetEffect[] = [];
  if (missing.length > 0) {
    effects.push({ type: "request-rows", node: from, domains: missing });
  }
  if (isAnswerDue) effects.push({ type: "send-digest", node: from });
  return effects;
}

function tick(
  state: FleetState,
  { leaders, now }: Extract<FleetEvent, { type: "ticked" }>,
): readonly FleetEffect[] {
  const isDue = state.isPlanStale || now - state.plannedAt >= PLAN_INTERVAL_MS;
  if (!isDue) return [];
  state.isPlanStale = false;
  state.plannedAt = now;
  forgetLost(state, now);
  forgetDemands(state, now);
  return planLinks(state, { leaders, now });
}

function forgetLost(state: FleetState, now: MonotonicMs) {
  for (const [node, mark] of state.lost) {
    if (now - mark.at < FORGET_AFTER_MS) continue;
    state.lost.delete(node);
    if (!mark.isApplied) continue;
    state.rows.delete(node);
    state.seeds.delete(node);
    state.gone.delete(node);
  }
  for (const [node, { retryAt }] of state.failures) {
    if (now - retryAt < FORGET_AFTER_MS) continue;
    state.failures.delete(node);
    if (!state.rows.has(node)) state.seeds.delete(node);
  }
}

function forward(row: NodeRow, from: NodeId): FleetEffect {
  return { type: "forward-rows", rows: [row], except: from };
}

function correct(
  node: NodeId,
  row: NodeRow | undefined,
  notice?: LostNotice,
): FleetEffect {
  return { type: "correct", node, row, notice };
}
