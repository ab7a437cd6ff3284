/**
 * Decides when a reader writes a snapshot into the log.
 *
 * Every reader sees the same need at the same time. A random delay lets one of
 * them begin, and the others see it in the fold and hold back. Two snapshots
 * do no harm beyond their bytes.
 * @module
 */
import type { MonotonicMs, Offset } from "../core/types.ts";
import type { ConfigState } from "./state.ts";

/** Longest random delay before a reader begins, in milliseconds. */
const maxDelayMs = 10_000;

/** Time that another writer gets to finish what it began, in milliseconds. */
export const SNAPSHOT_GRACE_MS = 60_000;

export interface SnapshotPolicy {
  /** Records after the newest snapshot that call for another. */
  readonly everyRecords: number;
  /** Longest time without a snapshot, in milliseconds. */
  readonly everyMs: number;
}

/** What a reader remembers of snapshots. */
export interface SnapshotState {
  /** Newest whole snapshot seen in the fold, and when. */
  seenThrough: Offset;
  seenAt: MonotonicMs;
  /** Newest offset of which a snapshot was begun by anyone. */
  begunThrough: Offset;
  /** When this reader begins, if it has to. */
  dueAt?: MonotonicMs;
}

/** Options of `decideSnapshot`. */
export interface DecideSnapshotOptions {
  readonly state: SnapshotState;
  readonly policy: SnapshotPolicy;
  readonly config: ConfigState;
  readonly isReader: boolean;
  readonly now: MonotonicMs;
  /** From 0 to 1. */
  readonly random: number;
}

/** Creates the state of a process that has seen no snapshot. */
export function createSnapshotState(now: MonotonicMs): SnapshotState {
  return { seenThrough: 0, seenAt: now, begunThrough: 0 };
}

/** True when this reader has to write a snapshot now. */
export function decideSnapshot(opts: DecideSnapshotOptions): boolean {
  const { state, config, now, random } = opts;
  if (config.snapshotThrough > state.seenThrough) {
    state.seenThrough = config.snapshotThrough;
    state.seenAt = now;
  }
  if (!opts.isReader || !isNeeded(opts)) {
    delete state.dueAt;
    return false;
  }
  const delayMs = random * maxDelayMs;
  const begun = [...config.snapshotsBegun.values()];
  const newest = Math.max(0, ...begun.map((one) => one.through));
  if (newest > state.begunThrough) {
    state.begunThrough = newest;
    // Its writer may die before the last chunk, so this only delays.
    state.dueAt = now + SNAPSHOT_GRACE_MS + delayMs;
  }
  state.dueAt ??= now + delayMs;
  if (now < state.dueAt) return false;
  state.dueAt = now + SNAPSHOT_GRACE_MS + delayMs;
  return true;
}

function isNeeded(opts: DecideSnapshotOptions): boolean {
  const { state, policy, config, now } = opts;
  const recordsAfter = config.next - 1 - config.snapshotThrough;
  if (config.version === 0) return false;
  // By time too: retention takes a snapshot away even when nothing changes.
  return recordsAfter >= policy.everyRecords ||
    now - state.seenAt >= policy.everyMs;
}
