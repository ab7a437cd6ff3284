/**
 * Decides when a reader writes a snapshot into the log.
 *
 * All readers (the nodes that read the log) find a snapshot due at the same
 * time. Each waits for a random delay, so usually one begins first; the others
 * find its first chunk in the fold and wait. If two readers do write a
 * snapshot, the only cost is the extra bytes in the log.
 * @module
 */
import type { MonotonicMs, Offset } from "../core/types.ts";
import type { ConfigState } from "./state.ts";

/** Maximum random delay before a reader begins a snapshot, in milliseconds. */
const MAX_DELAY_MS = 10_000;

/** Time that another writer has to finish its snapshot, in milliseconds. */
export const SNAPSHOT_GRACE_MS = 60_000;

export interface SnapshotPolicy {
  /** Number of records after the newest snapshot that make another one due. */
  readonly everyRecords: number;
  /** Maximum time without a snapshot, in milliseconds. */
  readonly everyMs: number;
}

/**
 * The snapshots that a reader has found in the fold, and when it writes one.
 */
export interface SnapshotState {
  /** Last offset included in the newest complete snapshot in the fold. */
  seenThrough: Offset;
  /** When `seenThrough` last rose. */
  seenAt: MonotonicMs;
  /** Highest last offset of a snapshot that any writer has begun. */
  begunThrough: Offset;
  /** When this reader begins a snapshot. Absent while none is due. */
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

/** Creates the state of a process that has found no snapshot yet. */
export function createSnapshotState(now: MonotonicMs): SnapshotState {
  return { seenThrough: 0, seenAt: now, begunThrough: 0 };
}

/** Returns true when this reader has to write a snapshot now. */
export function decideSnapshot(opts: DecideSnapshotOptions): boolean {
  const { state, config, now, random } = opts;
  if (config.snapshotThrough > state.seenThrough) {
    state.seenThrough = config.snapshotThrough;
    state.seenAt = now;
  }
  if (!opts.isReader || !isSnapshotNeeded(opts)) {
    delete state.dueAt;
    return false;
  }
  const delayMs = random * MAX_DELAY_MS;
  const begun = [...config.snapshotsBegun.values()];
  const newest = Math.max(0, ...begun.map((one) => one.through));
  if (newest > state.begunThrough) {
    state.begunThrough = newest;
    // The other writer may stop before its last chunk, so this reader only
    // delays its snapshot and does not cancel it.
    state.dueAt = now + SNAPSHOT_GRACE_MS + delayMs;
  }
  state.dueAt ??= now + delayMs;
  if (now < state.dueAt) return false;
  state.dueAt = now + SNAPSHOT_GRACE_MS + delayMs;
  return true;
}

function isSnapshotNeeded(opts: DecideSnapshotOptions): boolean {
  const { state, policy, config, now } = opts;
  const recordsAfter = config.next - 1 - config.snapshotThrough;
  if (config.version === 0) return false;
  // Also by time: the log's retention drops a snapshot even if nothing changes.
  return recordsAfter >= policy.everyRecords ||
    now - state.seenAt >= policy.everyMs;
}
