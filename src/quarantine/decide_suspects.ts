/**
 * Decides which requests a fleet no longer sends to endpoints, since they
 * crashed the endpoints that ran them.
 *
 * All requests that an endpoint runs when it crashes are suspects, and run on as
 * usual. A complete answer clears a suspect. A suspect whose runs crash
 * `CRASHES_TO_REFUSE` endpoints one after the other is refused, until its row
 * expires. Unlike `decideQuarantine`, this needs no arbiter that all nodes can
 * reach.
 * @module
 */
import { exhausted } from "../core/exhausted.ts";
import type { MonotonicMs, NodeId } from "../core/types.ts";
import { countChain, CRASHES_TO_REFUSE, crashIdOf } from "./crash_chain.ts";
import { markOfFingerprint, markOfTarget } from "./fingerprint_of.ts";
import {
  type KnownSuspects,
  MAX_SUSPECTS,
  mergeRow,
  rowOf,
} from "./merge_row.ts";
import type { Fingerprint, SuspectRow } from "./messages.ts";

/** What a node knows of the requests that crashed endpoints. */
export interface SuspectsState extends KnownSuspects {
  /** Unique per process start. */
  readonly boot: string;
  lastCrash: number;
  /** Fingerprints that are not cleared, by their marks. */
  readonly byMark: Map<string, Set<Fingerprint>>;
}

/** A run that the crash of its endpoint ended. */
export interface CrashedRun {
  readonly fingerprint: Fingerprint;
  /** Length of the chain of crashes that was known when the run began. */
  readonly crashes: number;
}

export type SuspectsEvent =
  /** The endpoint on this VM crashed. */
  | {
    readonly type: "crashed";
    readonly runs: readonly CrashedRun[];
    readonly now: MonotonicMs;
  }
  /** The endpoint on this VM answered a request completely. */
  | {
    readonly type: "answered";
    readonly fingerprint: Fingerprint;
    readonly now: MonotonicMs;
  }
  /** Rows arrived from another node. */
  | {
    readonly type: "received";
    readonly rows: readonly SuspectRow[];
    readonly from: NodeId | undefined;
    readonly now: MonotonicMs;
  };

export type SuspectsEffect =
  /** Send the rows to the neighbors. */
  | {
    readonly type: "forward";
    readonly rows: readonly SuspectRow[];
    readonly except: NodeId | undefined;
  }
  /** From now on the request is refused. */
  | { readonly type: "quarantined"; readonly row: SuspectRow };

export function createSuspectsState(boot: string): SuspectsState {
  return { boot, lastCrash: 0, suspects: new Map(), byMark: new Map() };
}

/** Applies an event to the state and returns the effects to carry out. */
export function decideSuspects(
  state: SuspectsState,
  event: SuspectsEvent,
): readonly SuspectsEffect[] {
  expire(state, event.now);
  switch (event.type) {
    case "crashed":
      return recordCrash(state, event);
    case "answered": {
      const row = rowOf(state, event.fingerprint);
      if (countChain(row) === 0) return [];
      return merge(state, [{ ...row, excused: row.crashes }], event);
    }
    case "received":
      return merge(state, event.rows, event);
    default:
      return exhausted(event);
  }
}

/** Whether a call with this target may be a suspect. */
export function maySuspect(state: SuspectsState, target: string): boolean {
  // Most nodes never know a suspect.
  return state.byMark.size > 0 && state.byMark.has(markOfTarget(target));
}

/** Whether a request with this fingerprint is refused. */
export function isQuarantined(
  state: KnownSuspects,
  fingerprint: Fingerprint,
): boolean {
  return countChain(rowOf(state, fingerprint)) >= CRASHES_TO_REFUSE;
}

/** Returns the rows that a node needs that has just started. */
export function quarantinedRows(state: KnownSuspects): readonly SuspectRow[] {
  return [...state.suspects.values()]
    .map(({ row }) => row)
    .filter((row) => countChain(row) >= CRASHES_TO_REFUSE);
}

function recordCrash(
  state: SuspectsState,
  event: Extract<SuspectsEvent, { type: "crashed" }>,
): readonly SuspectsEffect[] {
  const { boot } = state;
  const number = ++state.lastCrash;
  const crashes = new Map<Fingerprint, number>();
  for (const run of event.runs) {
    const known = crashes.get(run.fingerprint) ?? 0;
    crashes.set(run.fingerprint, Math.max(known, run.crashes + 1));
  }
  const rows = [...crashes].map(([fingerprint, count]): SuspectRow => ({
    fingerprint,
    crashes: [crashIdOf({ crashes: count, boot, number })],
    excused: [],
  }));
  return merge(state, rows, event);
}

/** Merges rows, and forwards those that were news, as they are now. */
function merge(
  state: SuspectsState,
  rows: readonly SuspectRow[],
  event: { readonly from?: NodeId | undefined; readonly now: MonotonicMs },
): readonly SuspectsEffect[] {
  const news: SuspectRow[] = [];
  const effects: SuspectsEffect[] = [];
  for (const row of rows) {
    const { fingerprint } = row;
    const wasQuarantined = isQuarantined(state, fingerprint);
    if (!mergeRow(state, row, event.now)) continue;
    const merged = rowOf(state, fingerprint);
    news.push(merged);
    index(state, fingerprint);
    if (!wasQuarantined && isQuarantined(state, fingerprint)) {
      effects.push({ type: "quarantined", row: merged });
    }
  }
  if (news.length === 0) return effects;
  // A merge may evict rows.
  if (state.byMark.size > MAX_SUSPECTS) {
    state.byMark.clear();
    for (const fingerprint of state.suspects.keys()) index(state, fingerprint);
  }
  return [{ type: "forward", rows: news, except: event.from }, ...effects];
}

function expire(state: SuspectsState, now: MonotonicMs) {
  // The least recently changed row comes first.
  for (const [fingerprint, { expiresAt }] of state.suspects) {
    if (expiresAt > now) return;
    state.suspects.delete(fingerprint);
    index(state, fingerprint);
  }
}

/** Updates `byMark` after a change of the fingerprint's row. */
function index(state: SuspectsState, fingerprint: Fingerprint) {
  const { byMark } = state;
  const mark = markOfFingerprint(fingerprint);
  const same = byMark.get(mark) ?? new Set();
  if (countChain(rowOf(state, fingerprint)) > 0) same.add(fingerprint);
  else same.delete(fingerprint);
  if (same.size > 0) byMark.set(mark, same);
  else byMark.delete(mark);
}
