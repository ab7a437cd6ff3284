/**
 * Decides when a node reads the operators' topic, and which records it
 * forwards.
 * @module
 */
import { exhausted } from "../core/exhausted.ts";
import type { MonotonicMs, NodeId, Offset } from "../core/types.ts";
import { countPeers, shouldRead } from "./should_read.ts";
import {
  type NewerPeer,
  type ReaderElectionEffect,
  type ReaderElectionEvent,
  type ReaderElectionState,
  ReaderStatus,
  RecordSource,
} from "./state.ts";

/**
 * Time that a node waits for records that a peer already has before it requests
 * them. A reader waits between pages and forwards records shortly after a read.
 */
const CATCH_UP_DELAY_MS = 600;

/**
 * Time that a node which neither reads nor relays waits before it requests
 * records from a peer in another failure domain. The relay nodes of its domain
 * request them first, since traffic between domains is expensive.
 */
const REMOTE_CATCH_UP_DELAY_MS = 1_000;

/**
 * Number of relay nodes: the first nodes of a failure domain by address. They
 * are the first to request records from nodes of other domains if the reader of
 * their own domain does not deliver them.
 */
export const RELAY_NODE_COUNT = 3;

/**
 * Time for which a node reads from the store after a peer did not answer a
 * request.
 */
const FORCED_READ_MS = 3_000;

/**
 * Time that a preceding reader has to forward records before this node does so.
 */
const FORWARD_WAIT_MS = 100;

/** Applies an event to the state and returns the effects to carry out. */
export function decideReaderElection(
  state: ReaderElectionState,
  event: ReaderElectionEvent,
): readonly ReaderElectionEffect[] {
  const { now } = event;
  switch (event.type) {
    case "started":
      state.isOn = true;
      state.startedAt = now;
      return [{ type: "read" }];
    case "peer-status-received": {
      const { node, domain, readerStatus, end } = event;
      const isSameDomain = domain === state.domain;
      const isNew = !state.peers.has(node);
      state.peers.set(node, { domain, readerStatus, end, receivedAt: now });
      clearPending(state, node, isSameDomain, end);
      // Peers do not forward records that they received before this link was
      // opened, so this node requests those records without a wait.
      const since = isNew && isSameDomain ? -Infinity : now;
      recordNewerPeer(state, { node, isSameDomain, since });
      return updateReading(state, now);
    }
    case "peer-lost":
      state.peers.delete(event.node);
      if (state.newerPeer?.node === event.node) state.newerPeer = undefined;
      return updateReading(state, now);
    case "store-changed":
      return handleStoreChange(state, event.isHealthy, now);
    case "records-applied":
      return handleRecords(state, event.source, event.from, event.end, now);
    case "ticked":
      return [
        ...forwardPending(state, now),
        ...requestMissing(state, now),
        ...updateReading(state, now),
      ];
    default:
      return exhausted(event);
  }
}

/** Starts or stops this node's reads. */
function updateReading(
  state: ReaderElectionState,
  now: MonotonicMs,
): ReaderElectionEffect[] {
  const { readers } = countPeers(state, now);
  if (readers > 0) state.noReaderSince = undefined;
  else state.noReaderSince ??= now;
  const isOn = shouldRead(state, now);
  if (isOn === state.isOn) return [];
  state.isOn = isOn;
  if (!isOn) {
    // A failed status is kept while this node does not read.
    if (state.status === ReaderStatus.Healthy) state.status = ReaderStatus.Idle;
    return [{ type: "stop" }];
  }
  state.status = ReaderStatus.Idle;
  return [{ type: "read" }];
}

function handleStoreChange(
  state: ReaderElectionState,
  isHealthy: boolean,
  now: MonotonicMs,
): ReaderElectionEffect[] {
  // The result of a read that ends after this node stopped reading is ignored.
  if (!state.isOn) return [];
  state.status = isHealthy ? ReaderStatus.Healthy : ReaderStatus.Failing;
  if (!isHealthy) state.failedAt = now;
  return [{ type: "send-status" }, ...updateReading(state, now)];
}

function handleRecords(
  state: ReaderElectionState,
  source: RecordSource,
  from: Offset,
  end: Offset,
  now: MonotonicMs,
): ReaderElectionEffect[] {
  state.end = Math.max(state.end, end);
  if (state.newerPeer !== undefined) {
    const known = state.peers.get(state.newerPeer.node)?.end ?? -1;
    if (known <= state.end) state.newerPeer = undefined;
  }
  switch (source) {
    case RecordSource.SameDomain:
      return [];
    case RecordSource.OtherDomain: {
      const isRelay = countPeers(state, now).before < RELAY_NODE_COUNT;
      return isRelay || state.isOn ? [{ type: "forward", from }] : [];
    }
    case RecordSource.Store:
      // Peers have read the records that existed before this node started.
      if (from < 0) return [];
      if (countPeers(state, now).readersBefore === 0) {
        return [{ type: "forward", from }];
      }
      state.pending ??= { from, dueAt: now + FORWARD_WAIT_MS };
      return [];
    default:
      return exhausted(source);
  }
}

/**
 * Drops the records to forward once a preceding node of the same failure domain
 * has them, since that node forwards them.
 */
function clearPending(
  state: ReaderElectionState,
  id: NodeId,
  isLocal: boolean,
  end: Offset,
) {
  if (isLocal && id < state.self && end >= state.end) state.pending = undefined;
}

/** Forwards records that the preceding reader has not forwarded in time. */
function forwardPending(
  state: ReaderElectionState,
  now: MonotonicMs,
): ReaderElectionEffect[] {
  const { pending } = state;
  if (pending === undefined || now < pending.dueAt) return [];
  state.pending = undefined;
  return [{ type: "forward", from: pending.from }];
}

/**
 * Records a peer that has newer records. Peers of the same domain are
 * preferred.
 */
function recordNewerPeer(
  state: ReaderElectionState,
  peer: Omit<NewerPeer, "requestCount">,
) {
  const { newerPeer } = state;
  const { node, isSameDomain } = peer;
  if ((state.peers.get(node)?.end ?? -1) <= state.end) {
    if (newerPeer?.node === node) state.newerPeer = undefined;
    return;
  }
  if (newerPeer === undefined) {
    state.newerPeer = { ...peer, requestCount: 0 };
  } else if (isSameDomain && !newerPeer.isSameDomain) {
    const since = Math.min(newerPeer.since, peer.since);
    state.newerPeer = { ...newerPeer, node, isSameDomain, since };
  } else if (newerPeer.requestCount > 0) {
    // The previous peer did not answer and may be unreachable.
    state.newerPeer = { ...newerPeer, node, isSameDomain };
  }
}

/** Requests records from a newer peer if they have not arrived in time. */
function requestMissing(
  state: ReaderElectionState,
  now: MonotonicMs,
): ReaderElectionEffect[] {
  const { newerPeer } = state;
  if (newerPeer === undefined) return [];
  const isRelay = countPeers(state, now).before < RELAY_NODE_COUNT;
  const waitMs = isRelay || state.isOn || newerPeer.isSameDomain
    ? CATCH_UP_DELAY_MS
    : REMOTE_CATCH_UP_DELAY_MS;
  if (now - newerPeer.since < waitMs) return [];
  const { node, requestCount } = newerPeer;
  state.newerPeer = {
    ...newerPeer,
    since: now,
    requestCount: requestCount + 1,
  };
  const request: ReaderElectionEffect = { type: "request", node };
  if (state.isOn) {
    // The read of this node hangs, or the store returns outdated records to it.
    const wasFailing = state.status === ReaderStatus.Failing;
    state.status = ReaderStatus.Failing;
    state.failedAt = now;
    const announce: ReaderElectionEffect[] = wasFailing
      ? []
      : [{ type: "send-status" }];
    return [request, { type: "reconnect" }, ...announce];
  }
  if (requestCount > 0) state.forcedUntil = now + FORCED_READ_MS;
  return [request];
}
