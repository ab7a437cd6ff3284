/**
 * Decides when a node reads the operators' topic, and what it passes on.
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
 * Time that records may take to come by themselves once a peer has them. A
 * reader pauses between pages, and passes them on a moment later.
 */
const behindMs = 600;

/**
 * The same for a node that does not read, of a peer in another failure domain.
 * The first nodes of its own domain ask first, since bytes between domains are dear.
 */
const farBehindMs = 1_000;

/**
 * Nodes of a failure domain that other domains tell how far records go. They
 * bring them to their own domain when its reader does not.
 */
export const RELAY_NODE_COUNT = 3;

/** Time for which a node reads that got no answer from a peer. */
const insistMs = 3_000;

/** Time that the reader before this one has to pass the same records on. */
const passOnMs = 100;

/** Takes one event in turn. */
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
    case "peer-heard": {
      const { node, domain, readerStatus, end } = event;
      const isSameDomain = domain === state.domain;
      const isNew = !state.peers.has(node);
      state.peers.set(node, { domain, readerStatus, end, receivedAt: now });
      settleOwed(state, node, isSameDomain, end);
      // What a peer took before it was linked, nobody passes on from it.
      const since = isNew && isSameDomain ? -Infinity : now;
      noteAhead(state, { node, isSameDomain, since });
      return review(state, now);
    }
    case "peer-lost":
      state.peers.delete(event.node);
      if (state.newerPeer?.node === event.node) state.newerPeer = undefined;
      return review(state, now);
    case "store-changed":
      return changeReading(state, event.isHealthy, now);
    case "records-taken":
      return takeRecords(state, event.source, event.from, event.end, now);
    case "ticked":
      return [
        ...payOwed(state, now),
        ...catchUp(state, now),
        ...review(state, now),
      ];
    default:
      return exhausted(event);
  }
}

/** Starts or ends this node's reads. */
function review(
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
    // What failed is still to be known while this node rests.
    if (state.status === ReaderStatus.Healthy) state.status = ReaderStatus.Idle;
    return [{ type: "rest" }];
  }
  state.status = ReaderStatus.Idle;
  return [{ type: "read" }];
}

function changeReading(
  state: ReaderElectionState,
  isHealthy: boolean,
  now: MonotonicMs,
): ReaderElectionEffect[] {
  // The last read of a node that rests says nothing new.
  if (!state.isOn) return [];
  state.status = isHealthy ? ReaderStatus.Healthy : ReaderStatus.Failing;
  if (!isHealthy) state.failedAt = now;
  return [{ type: "tell" }, ...review(state, now)];
}

function takeRecords(
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
      const isFirst = countPeers(state, now).before < RELAY_NODE_COUNT;
      return isFirst || state.isOn ? [{ type: "pass-on", from }] : [];
    }
    case RecordSource.Store:
      // What was there before this node's start its peers have read, too.
      if (from < 0) return [];
      if (countPeers(state, now).readersBefore === 0) {
        return [{ type: "pass-on", from }];
      }
      state.pending ??= { from, dueAt: now + passOnMs };
      return [];
    default:
      return exhausted(source);
  }
}

/** The reader before this one has passed on what it has itself. */
function settleOwed(
  state: ReaderElectionState,
  id: NodeId,
  isLocal: boolean,
  end: Offset,
) {
  if (isLocal && id < state.self && end >= state.end) state.pending = undefined;
}

function payOwed(
  state: ReaderElectionState,
  now: MonotonicMs,
): ReaderElectionEffect[] {
  const { pending } = state;
  if (pending === undefined || now < pending.dueAt) return [];
  state.pending = undefined;
  return [{ type: "pass-on", from: pending.from }];
}

/** A peer of the own domain is asked rather than another one. */
function noteAhead(state: ReaderElectionState, peer: Omit<NewerPeer, "asked">) {
  const { newerPeer } = state;
  const { node, isSameDomain } = peer;
  if ((state.peers.get(node)?.end ?? -1) <= state.end) {
    if (newerPeer?.node === node) state.newerPeer = undefined;
    return;
  }
  if (newerPeer === undefined) {
    state.newerPeer = { ...peer, asked: 0 };
  } else if (isSameDomain && !newerPeer.isSameDomain) {
    const since = Math.min(newerPeer.since, peer.since);
    state.newerPeer = { ...newerPeer, node, isSameDomain, since };
  } else if (newerPeer.asked > 0) {
    // One that did not answer may not be reached.
    state.newerPeer = { ...newerPeer, node, isSameDomain };
  }
}

function catchUp(
  state: ReaderElectionState,
  now: MonotonicMs,
): ReaderElectionEffect[] {
  const { newerPeer } = state;
  if (newerPeer === undefined) return [];
  const isFirst = countPeers(state, now).before < RELAY_NODE_COUNT;
  const waitMs = isFirst || state.isOn || newerPeer.isSameDomain
    ? behindMs
    : farBehindMs;
  if (now - newerPeer.since < waitMs) return [];
  const { node, asked } = newerPeer;
  state.newerPeer = { ...newerPeer, since: now, asked: asked + 1 };
  const ask: ReaderElectionEffect = { type: "ask", node };
  if (state.isOn) {
    // This node's own read hangs, or the store leaves it behind.
    const wasFailing = state.status === ReaderStatus.Failing;
    state.status = ReaderStatus.Failing;
    state.failedAt = now;
    const tell: ReaderElectionEffect[] = wasFailing ? [] : [{ type: "tell" }];
    return [ask, { type: "reconnect" }, ...tell];
  }
  if (asked > 0) state.forcedUntil = now + insistMs;
  return [ask];
}
