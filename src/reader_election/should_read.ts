/**
 * Decides whether a node reads the topic from the store.
 * @module
 */
import type { MonotonicMs } from "../core/types.ts";
import { type ReaderElectionState, ReaderStatus } from "./state.ts";

/**
 * Number of readers of a failure domain while fewer than
 * `MIN_OTHER_READING_DOMAINS` other domains have a reader.
 */
const ISOLATED_DOMAIN_READERS = 2;

/**
 * Minimum number of other failure domains with a reader for which a single
 * reader suffices in this domain. Each reader sends the offset of its newest
 * record to the relay nodes of the other domains, so that these detect a reader
 * that hangs.
 */
const MIN_OTHER_READING_DOMAINS = 2;

/**
 * Number of nodes that try to read at the same time when a reader of this
 * failure domain has failed and none is known to succeed. The cause may affect
 * several nodes.
 */
const MAX_SEARCHING_NODES = 6;

/**
 * Time without a message after which a reader of this domain is not counted.
 */
const READER_SILENCE_MS = 1_400;

/**
 * Time without a message after which a node of this domain that is not a
 * reader, or a reader of another failure domain, is not counted.
 */
const PEER_SILENCE_MS = 7_000;

/**
 * Time without a known reader after which nodes read regardless of their order.
 */
const NO_READER_WAIT_MS = 300;

/**
 * Time for which a node whose reads failed does not read, unless it is needed
 * as a reader.
 */
const FAILED_READER_WAIT_MS = 3_000;

/**
 * Time after its start in which a node that has read once waits for messages of
 * its peers. Without it, nodes that start together would all continue to read.
 */
const STARTUP_MS = 2_500;

/**
 * Wait after the start of a node that has received no message from any peer.
 */
const NO_PEER_MS = 1_000;

/** Counts of the peers from which messages have arrived recently. */
export interface PeerCounts {
  /** Number of nodes that should read in this failure domain. */
  readonly wanted: number;
  /** Peers of this failure domain whose reads succeed. */
  readonly readers: number;
  /**
   * Peers of this failure domain that precede this node in the order of
   * addresses.
   */
  readonly before: number;
  /** Preceding peers whose reads succeed. */
  readonly readersBefore: number;
  /** Peers of this failure domain whose reads fail. */
  readonly failing: number;
  /** Preceding peers whose reads fail. */
  readonly failingBefore: number;
}

export function countPeers(
  state: ReaderElectionState,
  now: MonotonicMs,
): PeerCounts {
  let [readers, before, readersBefore] = [0, 0, 0];
  let [failing, failingBefore] = [0, 0];
  const readingDomains = new Set<string>();
  for (const [node, peer] of state.peers) {
    const isReader = peer.readerStatus === ReaderStatus.Healthy;
    const isFailing = peer.readerStatus === ReaderStatus.Failing;
    const silentMs = now - peer.receivedAt;
    if (peer.domain !== state.domain) {
      if (!isReader || peer.domain === undefined) continue;
      if (silentMs < PEER_SILENCE_MS) readingDomains.add(peer.domain);
      continue;
    }
    if (silentMs >= (isReader ? READER_SILENCE_MS : PEER_SILENCE_MS)) continue;
    if (isReader) readers++;
    if (isFailing) failing++;
    if (node > state.self) continue;
    before++;
    if (isReader) readersBefore++;
    if (isFailing) failingBefore++;
  }
  const wanted = readingDomains.size >= MIN_OTHER_READING_DOMAINS
    ? 1
    : ISOLATED_DOMAIN_READERS;
  return { wanted, readers, before, readersBefore, failing, failingBefore };
}

/**
 * Returns whether this node should read. The first nodes of a failure domain,
 * in the order of addresses, read if they can. Each node decides without a
 * vote. While the views of the nodes differ, more or fewer nodes read. A reader
 * continues until enough preceding nodes are known to read.
 */
export function shouldRead(
  state: ReaderElectionState,
  now: MonotonicMs,
): boolean {
  const counts = countPeers(state, now);
  const { wanted } = counts;
  if (now < state.forcedUntil || state.end < 0) return true;
  const upMs = now - state.startedAt;
  if (upMs < STARTUP_MS) return state.peers.size === 0 && upMs >= NO_PEER_MS;
  if (counts.readersBefore >= wanted) return false;
  if (state.status === ReaderStatus.Failing) {
    const isNeeded = counts.readers === 0 &&
      counts.before < ISOLATED_DOMAIN_READERS;
    if (!isNeeded && now - state.failedAt < FAILED_READER_WAIT_MS) return false;
  }
  const isSearching = counts.readers === 0 && counts.failing > 0;
  const maxBefore = isSearching ? MAX_SEARCHING_NODES : wanted;
  if (counts.before - counts.failingBefore < maxBefore) return true;
  if (state.isOn) return true;
  const startupEndsAt = state.startedAt + STARTUP_MS;
  return state.noReaderSince !== undefined &&
    now - Math.max(startupEndsAt, state.noReaderSince) >= NO_READER_WAIT_MS;
}
