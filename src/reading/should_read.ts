/**
 * Whether a node reads the topic from the store.
 * @module
 */
import type { MonotonicMs } from "../core/types.ts";
import { type PeerReading, Reading, type ReadingState } from "./state.ts";

/** Nodes of a failure domain that read. */
export const readerCount = 2;

/** A peer that was not heard of for so long is not counted on. */
export const silentMs = 2_000;

/** Time until nodes that are not first read, once nobody is known to. */
const unreadMs = 300;

/** Time for which a node whose reads failed leaves them to others. */
const restMs = 3_000;

/** Peers of the failure domain, as far as they can be counted on. */
export interface NearPeers {
  /** Reads of theirs succeed. */
  readonly readers: number;
  /** Nodes before this one in the order of addresses. */
  readonly before: number;
  readonly readersBefore: number;
  readonly failingBefore: number;
}

export function countNear(state: ReadingState, now: MonotonicMs): NearPeers {
  let [readers, before, readersBefore, failingBefore] = [0, 0, 0, 0];
  for (const [node, peer] of state.peers) {
    if (!isCounted(peer, now)) continue;
    const isReader = peer.reading === Reading.Healthy;
    if (isReader) readers++;
    if (node > state.self) continue;
    before++;
    if (isReader) readersBefore++;
    if (peer.reading === Reading.Failing) failingBefore++;
  }
  return { readers, before, readersBefore, failingBefore };
}

function isCounted(peer: PeerReading, now: MonotonicMs): boolean {
  return peer.isNear && now - peer.heardAt < silentMs;
}

/**
 * The first nodes of a failure domain that can read do. Nobody is elected: in a
 * moment in which views differ one more or one less reads. A reader goes on
 * until the nodes before it are known to read.
 */
export function shouldRead(state: ReadingState, now: MonotonicMs): boolean {
  const near = countNear(state, now);
  if (now < state.insistsUntil) return true;
  if (near.readersBefore >= readerCount) return false;
  if (state.reading === Reading.Failing) {
    const isNeeded = near.readers === 0 && near.before < readerCount;
    if (!isNeeded && now - state.failedAt < restMs) return false;
  }
  if (near.before - near.failingBefore < readerCount) return true;
  if (state.isOn) return true;
  return state.unreadSince !== undefined &&
    now - state.unreadSince >= unreadMs;
}
