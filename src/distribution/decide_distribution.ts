/**
 * Broadcasts the log's records to the failure domain, and repairs gaps.
 *
 * The first reader broadcasts the records that it reads. Another reader
 * broadcasts the records that it has read but not received in a broadcast
 * within a delay. Nodes also exchange heads (next offset and digest of the
 * state) with overlay neighbours, and fetch the records that they lack.
 * @module
 */
import type { LogRecord } from "../config_log/messages.ts";
import { exhausted } from "../core/exhausted.ts";
import type { MonotonicMs, NodeId, Offset } from "../core/types.ts";
import {
  delegateBroadcast,
  listFingers,
} from "../overlay/delegate_broadcast.ts";
import { answerFetch, answerSnapshot, slicePage } from "./answer_fetch.ts";
import { keepTail } from "./keep_tail.ts";
import {
  type DistributionEffect,
  type DistributionEvent,
  type DistributionState,
  type OverlayView,
  SNAPSHOTS_PER_TICK,
} from "./state.ts";

type Effects = readonly DistributionEffect[];
type Received = Extract<DistributionEvent, { type: "received" }>;

/** Time without the first reader's broadcast after which others broadcast. */
export const BACKUP_DELAY_MS = 500;

/** Time to wait for the answer to a fetch before another fetch is sent. */
export const FETCH_TIMEOUT_MS = 1_500;

/** Applies one event to the state and returns the effects. */
export function decideDistribution(
  state: DistributionState,
  event: DistributionEvent,
): Effects {
  switch (event.type) {
    case "ticked":
      return tick(state, event);
    case "read":
      return handleRead(state, event);
    case "received":
      return receive(state, event);
    case "folded":
      keepTail(state, event);
      return [];
    default:
      return exhausted(event);
  }
}

function tick(
  state: DistributionState,
  event: Extract<DistributionEvent, { type: "ticked" }>,
): Effects {
  const { view, random, now } = event;
  const effects: DistributionEffect[] = [];
  state.snapshotsLeft = SNAPSHOTS_PER_TICK;
  const isReader = view.readers.includes(state.self);
  if (isReader !== state.isReader) {
    state.isReader = isReader;
    effects.push({ type: "follow", isReader });
  }
  effects.push(...broadcastPending(state, view, now));
  // Readers also ask gateways of other domains, in case no node of this domain
  // can reach the log.
  const peers = listFingers(view.ring, state.self);
  const candidates = isReader ? [...peers, ...view.gateways] : peers;
  const peer = candidates[Math.floor(random * candidates.length)];
  if (peer !== undefined) effects.push(sendHead(state, peer));
  return effects;
}

function handleRead(
  state: DistributionState,
  event: Extract<DistributionEvent, { type: "read" }>,
): Effects {
  const fresh = selectNewRecords(state, event.records);
  if (fresh === undefined) return [];
  const fold = { type: "fold", records: fresh } as const;
  if (event.view.readers[0] === state.self) {
    const sends = broadcast(state, event.view, fresh, state.self);
    return [...sends, fold];
  }
  state.pendingBroadcast ??= { from: state.next, at: event.now };
  return [fold];
}

/**
 * Broadcasts the records that this reader has read and no node has broadcast in
 * time, since the first reader may have died or lost its connection to the log.
 */
function broadcastPending(
  state: DistributionState,
  view: OverlayView,
  now: MonotonicMs,
): Effects {
  const { pendingBroadcast: pending, tail } = state;
  if (pending === undefined || now - pending.at < BACKUP_DELAY_MS) return [];
  const first = tail[0]?.offset ?? Infinity;
  const page = slicePage(tail, Math.max(0, pending.from - first));
  const end = (page.at(-1)?.offset ?? Infinity) + 1;
  state.pendingBroadcast = end < state.next
    ? { from: end, at: now }
    : undefined;
  return broadcast(state, view, page, state.self);
}

function broadcast(
  state: DistributionState,
  view: OverlayView,
  records: readonly LogRecord[],
  until: NodeId,
): Effects {
  if (records.length === 0) return [];
  return delegateBroadcast(view.ring, state.self, until).map((one) => ({
    type: "send",
    to: one.to,
    message: { type: "distribution/records", records, until: one.until },
  }));
}

/**
 * Returns the records that are not folded yet. Undefined if there are none, or
 * if there is a gap between them and the state.
 */
function selectNewRecords(
  state: DistributionState,
  records: readonly LogRecord[],
): readonly LogRecord[] | undefined {
  const fresh = records.filter((record) => record.offset >= state.next);
  return fresh[0]?.offset === state.next ? fresh : undefined;
}

function receive(state: DistributionState, event: Received): Effects {
  const { message, from } = event;
  switch (message.type) {
    case "distribution/records":
      return handleBroadcast(state, event, message);
    case "distribution/page":
      return handlePage(state, event, message);
    case "distribution/head":
      return compareHead(state, event, message);
    case "distribution/fetch":
      return answerFetch(state, { ...message, to: from });
    case "distribution/repair":
      return answerSnapshot(state, from);
    case "distribution/snapshot": {
      const { snapshot } = message;
      state.fetch = undefined;
      const least = state.isDiverged ? state.next - 1 : state.next;
      return snapshot.through >= least
        ? [{ type: "load-snapshot", from, snapshot }]
        : [];
    }
    default:
      return exhausted(message);
  }
}

function handleBroadcast(
  state: DistributionState,
  event: Received,
  message: Extract<Received["message"], { type: "distribution/records" }>,
): Effects {
  const { records, until } = message;
  const last = records.at(-1)?.offset ?? 0;
  clearReceived(state, last);
  // The nodes of the range get the records only from this node, so it forwards
  // them even if it has them already.
  const forwarded = until === state.self
    ? []
    : broadcast(state, event.view, records, until);
  const effects = [...forwarded];
  const fresh = selectNewRecords(state, records);
  if (fresh !== undefined) effects.push({ type: "fold", records: fresh });
  else if (last >= state.next) {
    effects.push(...fetchFrom(state, event.from, state.next, event.now));
  }
  return effects;
}

/** Drops the records up to `last` from those that this reader may broadcast. */
function clearReceived(state: DistributionState, last: Offset) {
  if (
    state.pendingBroadcast === undefined || last < state.pendingBroadcast.from
  ) return;
  state.pendingBroadcast = last + 1 < state.next
    ? { from: last + 1, at: state.pendingBroadcast.at }
    : undefined;
}

function handlePage(
  state: DistributionState,
  event: Received,
  message: Extract<Received["message"], { type: "distribution/page" }>,
): Effects {
  const { from, view, now } = event;
  const { records, head } = message;
  if (state.fetch?.to === from) state.fetch = undefined;
  const fresh = selectNewRecords(state, records);
  if (fresh === undefined) return [];
  const effects: DistributionEffect[] = [];
  // Records from another domain are new to every node of this domain.
  if (state.isReader && !view.ring.ids.includes(from)) {
    effects.push(...broadcast(state, view, fresh, state.self));
  }
  effects.push({ type: "fold", records: fresh });
  const next = (fresh.at(-1)?.offset ?? 0) + 1;
  if (next < head) effects.push(...fetchFrom(state, from, next, now, ""));
  return effects;
}

function compareHead(
  state: DistributionState,
  event: Received,
  message: Extract<Received["message"], { type: "distribution/head" }>,
): Effects {
  const { from, view, now } = event;
  if (message.next > state.next) {
    return fetchFrom(state, from, state.next, now);
  }
  if (message.next < state.next) return [sendHead(state, from)];
  if (message.digest === state.digest) return [];
  state.isDiverged = true;
  const { next, digest: own } = state;
  const theirs = message.digest;
  const diverged = { type: "diverged", peer: from, next, own, theirs } as const;
  const reader = view.readers[0];
  if (reader === undefined || reader === state.self) return [diverged];
  const repair = { type: "distribution/repair" } as const;
  return [diverged, { type: "send", to: reader, message: repair }];
}

function sendHead(state: DistributionState, to: NodeId): DistributionEffect {
  const { next, digest } = state;
  return {
    type: "send",
    to,
    message: { type: "distribution/head", next, digest },
  };
}

/** Fetches from one peer at a time, so that no record is fetched twice. */
function fetchFrom(
  state: DistributionState,
  to: NodeId,
  from: Offset,
  now: MonotonicMs,
  digest = state.digest,
): Effects {
  const { fetch } = state;
  if (fetch !== undefined && now - fetch.at < FETCH_TIMEOUT_MS) return [];
  state.fetch = { to, at: now };
  const message = { type: "distribution/fetch", from, digest } as const;
  return [{ type: "send", to, message }];
}
