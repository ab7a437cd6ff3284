/**
 * Keeps the statuses that the readers of the operators' topic announce to the
 * whole fleet.
 * @module
 */
import type { MonotonicMs, NodeId, Offset, WallMs } from "../core/types.ts";
import { ReaderStatus } from "./state.ts";

/**
 * Time that the status of a reader is valid, in milliseconds. Beats are sent
 * when a status changes; the repeated ones pass from neighbor to neighbor, which
 * takes some rounds in a large fleet. The neighbors of a reader that becomes
 * silent announce that.
 */
const BEAT_TTL_MS = 60_000;

/**
 * Added to the number of the last known beat of a reader that its neighbor
 * announces as silent. The reader's next beat has a higher number.
 */
const SILENCE_SEQ = 0.5;

/** Number of nodes whose statuses are kept. There are far fewer readers. */
const MAX_BEATS = 2_000;

/** Status of a reader. Each node forwards it once. */
export interface ReaderBeat {
  readonly node: NodeId;
  readonly domain: string;
  /** When the reader's process started, by its own clock. */
  readonly startedAt: WallMs;
  /** Increases with each beat of the process. */
  readonly seq: number;
  readonly readerStatus: ReaderStatus;
  /** Offset up to which the reader has read the operators' topic. */
  readonly end: Offset;
}

interface KnownBeat {
  readonly beat: ReaderBeat;
  readonly receivedAt: MonotonicMs;
}

export interface BeatState {
  readonly beats: Map<NodeId, KnownBeat>;
}

export function createBeatState(): BeatState {
  return { beats: new Map() };
}

/**
 * Stores a beat if it is newer than the known one of its node. Returns whether
 * it is.
 */
export function applyBeat(
  state: BeatState,
  beat: ReaderBeat,
  now: MonotonicMs,
): boolean {
  const known = state.beats.get(beat.node)?.beat;
  if (known !== undefined && !isLater(beat, known)) return false;
  if (known === undefined && state.beats.size >= MAX_BEATS) return false;
  state.beats.set(beat.node, { beat, receivedAt: now });
  return true;
}

/**
 * Returns the beat by which a neighbor of a reader announces that the reader is
 * silent, or undefined if the node is not known to read.
 */
export function silenceOf(
  state: BeatState,
  node: NodeId,
): ReaderBeat | undefined {
  const known = state.beats.get(node)?.beat;
  if (known === undefined || known.readerStatus === ReaderStatus.Idle) {
    return undefined;
  }
  const seq = Math.floor(known.seq) + SILENCE_SEQ;
  return { ...known, seq, readerStatus: ReaderStatus.Idle };
}

/** Drops the beats that are not valid any more. */
export function dropOldBeats(state: BeatState, now: MonotonicMs) {
  for (const [node, { receivedAt }] of state.beats) {
    if (now - receivedAt >= BEAT_TTL_MS) state.beats.delete(node);
  }
}

/** Returns the nodes that recently announced successful reads of the store. */
export function healthyReaders(state: BeatState, now: MonotonicMs): NodeId[] {
  return [...state.beats].flatMap(([node, { beat, receivedAt }]) =>
    beat.readerStatus === ReaderStatus.Healthy &&
      now - receivedAt < BEAT_TTL_MS
      ? [node]
      : []
  );
}

/** Returns a node's last announced status. Other nodes don't read. */
export function statusOfNode(
  state: BeatState,
  node: NodeId,
  now: MonotonicMs,
): ReaderStatus {
  const known = state.beats.get(node);
  return known === undefined || now - known.receivedAt >= BEAT_TTL_MS
    ? ReaderStatus.Idle
    : known.beat.readerStatus;
}

function isLater(a: ReaderBeat, b: ReaderBeat): boolean {
  if (a.startedAt !== b.startedAt) return a.startedAt > b.startedAt;
  return a.seq > b.seq;
}
