/**
 * Decides when a node reads the operators' topic, and what it passes on.
 * @module
 */
import { exhausted } from "../core/exhausted.ts";
import type { MonotonicMs, NodeId, Offset } from "../core/types.ts";
import { countPeers, shouldRead } from "./should_read.ts";
import {
  type Ahead,
  Reading,
  type ReadingEffect,
  type ReadingEvent,
  type ReadingState,
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
export const firstCount = 3;

/** Time for which a node reads that got no answer from a peer. */
const insistMs = 3_000;

/** Time that the reader before this one has to pass the same records on. */
const passOnMs = 100;

/** Takes one event in turn. */
export function decideReading(
  state: ReadingState,
  event: ReadingEvent,
): readonly ReadingEffect[] {
  const { now } = event;
  switch (event.type) {
    case "started":
      state.isOn = true;
      state.startedAt = now;
      return [{ type: "read" }];
    case "peer-heard": {
      const { node, domain, reading, end } = event;
      const isNear = domain === state.domain;
      const isNew = !state.peers.has(node);
      state.peers.set(node, { domain, reading, end, heardAt: now });
      settleOwed(state, node, isNear, end);
      // What a peer took before it was linked, nobody passes on from it.
      const since = isNew && isNear ? -Infinity : now;
      noteAhead(state, { node, isNear, since });
      return review(state, now);
    }
    case "peer-lost":
      state.peers.delete(event.node);
      if (state.ahead?.node === event.node) state.ahead = undefined;
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
function review(state: ReadingState, now: MonotonicMs): ReadingEffect[] {
  const { readers } = countPeers(state, now);
  if (readers > 0) state.unreadSince = undefined;
  else state.unreadSince ??= now;
  const isOn = shouldRead(state, now);
  if (isOn === state.isOn) return [];
  state.isOn = isOn;
  if (!isOn) {
    // What failed is still to be known while this node rests.
    if (state.reading === Reading.Healthy) state.reading = Reading.Idle;
    return [{ type: "rest" }];
  }
  state.reading = Reading.Idle;
  return [{ type: "read" }];
}

function changeReading(
  state: ReadingState,
  isHealthy: boolean,
  now: MonotonicMs,
): ReadingEffect[] {
  // The last read of a node that rests says nothing new.
  if (!state.isOn) return [];
  state.reading = isHealthy ? Reading.Healthy : Reading.Failing;
  if (!isHealthy) state.failedAt = now;
  return [{ type: "tell" }, ...review(state, now)];
}

function takeRecords(
  state: ReadingState,
  source: RecordSource,
  from: Offset,
  end: Offset,
  now: MonotonicMs,
): ReadingEffect[] {
  state.end = Math.max(state.end, end);
  if (state.ahead !== undefined) {
    const known = state.peers.get(state.ahead.node)?.end ?? -1;
    if (known <= state.end) state.ahead = undefined;
  }
  switch (source) {
    case RecordSource.Near:
      return [];
    case RecordSource.Far: {
      const isFirst = countPeers(state, now).before < firstCount;
      return isFirst || state.isOn ? [{ type: "pass-on", from }] : [];
    }
    case RecordSource.Store:
      // What was there before this node's start its peers have read, too.
      if (from < 0) return [];
      if (countPeers(state, now).readersBefore === 0) {
        return [{ type: "pass-on", from }];
      }
      state.owed ??= { from, dueAt: now + passOnMs };
      return [];
    default:
      return exhausted(source);
  }
}

/** The reader before this one has passed on what it has itself. */
function settleOwed(
  state: ReadingState,
  node: NodeId,
  isNear: boolean,
  end: Offset,
) {
  if (isNear && node < state.self && end >= state.end) state.owed = undefined;
}

function payOwed(state: ReadingState, now: MonotonicMs): ReadingEffect[] {
  const { owed } = state;
  if (owed === undefined || now < owed.dueAt) return [];
  state.owed = undefined;
  return [{ type: "pass-on", from: owed.from }];
}

/** A peer of the own domain is asked rather than another one. */
function noteAhead(state: ReadingState, peer: Omit<Ahead, "asked">) {
  const { ahead } = state;
  const { node, isNear } = peer;
  if ((state.peers.get(node)?.end ?? -1) <= state.end) {
    if (ahead?.node === node) state.ahead = undefined;
    return;
  }
  if (ahead === undefined) {
    state.ahead = { ...peer, asked: 0 };
  } else if (isNear && !ahead.isNear) {
    const since = Math.min(ahead.since, peer.since);
    state.ahead = { ...ahead, node, isNear, since };
  } else if (ahead.asked > 0) {
    // One that did not answer may not be reached.
    state.ahead = { ...ahead, node, isNear };
  }
}

function catchUp(state: ReadingState, now: MonotonicMs): ReadingEffect[] {
  const { ahead } = state;
  if (ahead === undefined) return [];
  const isFirst = countPeers(state, now).before < firstCount;
  const waitMs = isFirst || state.isOn || ahead.isNear ? behindMs : farBehindMs;
  if (now - ahead.since < waitMs) return [];
  const { node, asked } = ahead;
  state.ahead = { ...ahead, since: now, asked: asked + 1 };
  const ask: ReadingEffect = { type: "ask", node };
  if (state.isOn) {
    // This node's own read hangs, or the store leaves it behind.
    const wasFailing = state.reading === Reading.Failing;
    state.reading = Reading.Failing;
    state.failedAt = now;
    const tell: ReadingEffect[] = wasFailing ? [] : [{ type: "tell" }];
    return [ask, { type: "reconnect" }, ...tell];
  }
  if (asked > 0) state.insistsUntil = now + insistMs;
  return [ask];
}
