/**
 * Whether a node reads the topic from the store.
 * @module
 */
import type { MonotonicMs } from "../core/types.ts";
import { type ReaderElectionState, ReaderStatus } from "./state.ts";

/** Nodes of a failure domain that read while it is on its own. */
const aloneReaders = 2;

/**
 * Other failure domains with a reader that make one reader here enough. Each
 * reader tells the first nodes of the other domains how far records go, so that
 * one that hangs is found by what they have.
 */
const otherDomains = 2;

/**
 * Nodes that look for a way to the store at once when a near reader has failed
 * and none is known to succeed. What silenced one may have silenced others.
 */
const searchers = 6;

/** A near reader that was not heard of for so long is not counted on. */
const silentMs = 1_400;

/** The same of other nodes, and of other failure domains. */
const idleSilentMs = 7_000;

/** Time until nodes that are not first read, once nobody is known to. */
const unreadMs = 300;

/** Time for which a node whose reads failed leaves them to others. */
const restMs = 3_000;

/**
 * Time after a start in which a node that has read once waits for word of its
 * peers. Nodes that start together would all go on reading.
 */
const meetMs = 2_500;

/** The same for a node that has heard of no peer at all. */
const aloneMs = 1_000;

/** Peers, as far as they can be counted on. */
export interface CountedPeers {
  /** Nodes that are to read in this failure domain. */
  readonly wanted: number;
  /** Near peers whose reads succeed. */
  readonly readers: number;
  /** Near peers before this node in the order of addresses. */
  readonly before: number;
  readonly readersBefore: number;
  /** Near peers whose reads fail. */
  readonly failing: number;
  readonly failingBefore: number;
}

export function countPeers(
  state: ReaderElectionState,
  now: MonotonicMs,
): CountedPeers {
  let [readers, before, readersBefore] = [0, 0, 0];
  let [failing, failingBefore] = [0, 0];
  const others = new Set<string>();
  for (const [node, peer] of state.peers) {
    const isReader = peer.readerStatus === ReaderStatus.Healthy;
    const isFailing = peer.readerStatus === ReaderStatus.Failing;
    const silentFor = now - peer.receivedAt;
    if (peer.domain !== state.domain) {
      if (!isReader || peer.domain === undefined) continue;
      if (silentFor < idleSilentMs) others.add(peer.domain);
      continue;
    }
    if (silentFor >= (isReader ? silentMs : idleSilentMs)) continue;
    if (isReader) readers++;
    if (isFailing) failing++;
    if (node > state.self) continue;
    before++;
    if (isReader) readersBefore++;
    if (isFailing) failingBefore++;
  }
  const wanted = others.size >= otherDomains ? 1 : aloneReaders;
  return { wanted, readers, before, readersBefore, failing, failingBefore };
}

/**
 * The first nodes of a failure domain that can read do. Nobody is elected: in a
 * moment in which views differ one more or one less reads. A reader goes on
 * until the nodes before it are known to read.
 */
export function shouldRead(
  state: ReaderElectionState,
  now: MonotonicMs,
): boolean {
  const near = countPeers(state, now);
  const { wanted } = near;
  if (now < state.forcedUntil || state.end < 0) return true;
  const upMs = now - state.startedAt;
  if (upMs < meetMs) return state.peers.size === 0 && upMs >= aloneMs;
  if (near.readersBefore >= wanted) return false;
  if (state.status === ReaderStatus.Failing) {
    const isNeeded = near.readers === 0 && near.before < aloneReaders;
    if (!isNeeded && now - state.failedAt < restMs) return false;
  }
  const isSearching = near.readers === 0 && near.failing > 0;
  const first = isSearching ? searchers : wanted;
  if (near.before - near.failingBefore < first) return true;
  if (state.isOn) return true;
  const metAt = state.startedAt + meetMs;
  return state.noReaderSince !== undefined &&
    now - Math.max(metAt, state.noReaderSince) >= unreadMs;
}
