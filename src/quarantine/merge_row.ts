/**
 * Merges rows (the crashes of one fingerprint) from peers into the state.
 * @module
 */
import type { MonotonicMs } from "../core/types.ts";
import type { Fingerprint, SuspectRow } from "./messages.ts";
import {
  type KnownSuspect,
  type QuarantineState,
  SuspicionLevel,
} from "./state.ts";

/** Maximum number of fingerprints that a node stores. */
export const MAX_SUSPECTS = 4_096;

/** How long a fingerprint is stored after its last change, in ms. */
export const SUSPECT_TTL_MS = 30 * 60 * 1_000;

/**
 * Number of crashes that count against a request from which it is quarantined,
 * that is refused.
 */
export const CRASHES_TO_QUARANTINE = 2;

/** Limit on the crash ids in each list of a row. The oldest are dropped. */
const MAX_CRASH_IDS = 8;

/** The part of a node's state that rows are merged into. */
export type KnownSuspects = Pick<QuarantineState, "suspects">;

/** Merges a row into the state. Returns whether the state changed. */
export function mergeRow(
  state: KnownSuspects,
  row: SuspectRow,
  now: MonotonicMs,
): boolean {
  const known = state.suspects.get(row.fingerprint);
  const merged: SuspectRow = {
    fingerprint: row.fingerprint,
    crashes: union(known?.row.crashes ?? [], row.crashes),
    excused: union(known?.row.excused ?? [], row.excused),
  };
  const isSame = known !== undefined &&
    known.row.crashes.length === merged.crashes.length &&
    known.row.excused.length === merged.excused.length;
  if (isSame) return false;
  state.suspects.delete(row.fingerprint);
  if (state.suspects.size >= MAX_SUSPECTS) evictOldest(state);
  const next: KnownSuspect = { row: merged, expiresAt: now + SUSPECT_TTL_MS };
  state.suspects.set(row.fingerprint, next);
  return true;
}

/** Returns the row of a fingerprint, empty when none is stored. */
export function rowOf(
  state: KnownSuspects,
  fingerprint: Fingerprint,
): SuspectRow {
  return state.suspects.get(fingerprint)?.row ??
    { fingerprint, crashes: [], excused: [] };
}

/** Returns the suspicion level of a fingerprint. */
export function levelOf(
  state: KnownSuspects,
  fingerprint: Fingerprint,
): SuspicionLevel {
  const known = state.suspects.get(fingerprint);
  if (known === undefined) return SuspicionLevel.Clear;
  const { crashes, excused } = known.row;
  const counted = crashes.filter((one) => !excused.includes(one)).length;
  if (counted === 0) return SuspicionLevel.Clear;
  return counted < CRASHES_TO_QUARANTINE
    ? SuspicionLevel.Suspect
    : SuspicionLevel.Quarantined;
}

function union(
  known: readonly string[],
  more: readonly string[],
): readonly string[] {
  return [...new Set([...known, ...more])].slice(-MAX_CRASH_IDS);
}

/**
 * Evicts the least recently changed row whose request is not quarantined. When
 * all requests are quarantined, evicts the least recently changed row.
 */
function evictOldest(state: KnownSuspects) {
  let oldest: Fingerprint | undefined;
  for (const fingerprint of state.suspects.keys()) {
    oldest ??= fingerprint;
    if (levelOf(state, fingerprint) === SuspicionLevel.Quarantined) continue;
    oldest = fingerprint;
    break;
  }
  if (oldest !== undefined) state.suspects.delete(oldest);
}
