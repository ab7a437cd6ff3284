/**
 * Decides on isolated runs: a request that is suspected of crashing upstreams
 * runs alone at its endpoint, and at most one run of it is in flight in the
 * failure domain.
 *
 * Each fingerprint has an arbiter, the member chosen by rendezvous hashing,
 * that grants its isolated runs. Runs of different requests don't wait for each
 * other. Traces and messages call an isolated run `trial`.
 * @module
 */
import { createHash } from "node:crypto";
import { exhausted } from "../core/exhausted.ts";
import type { MonotonicMs, NodeId } from "../core/types.ts";
import { levelOf, rowOf } from "./merge_row.ts";
import type { Fingerprint, QuarantineMessage } from "./messages.ts";
import {
  type IsolatedRunVerdict,
  type QuarantineEffect,
  type QuarantineEvent,
  type QuarantineState,
  type RunningCall,
  SuspicionLevel,
} from "./state.ts";

/** Maximum number of calls that wait for an isolated run at a node. */
export const MAX_REQUESTED_ISOLATED_RUNS = 1_000;

/** Limit on the granted isolated runs of an arbiter that have not ended. */
const MAX_GRANTED_RUNS = 4_096;

/** Interval at which a waiting call repeats its request to the arbiter. */
const REQUEST_INTERVAL_MS = 25;

/**
 * Time after the deadline of its call at which a grant expires, so that a lost
 * message about the end of a run does not block the fingerprint.
 */
const GRANT_GRACE_MS = 1_000;

/** Returns the member that grants a fingerprint's isolated runs. */
export function arbiterOf(
  fingerprint: Fingerprint,
  members: readonly NodeId[],
): NodeId | undefined {
  let first: { id: NodeId; weight: string } | undefined;
  for (const id of members) {
    const weight = createHash("sha1").update(`${fingerprint} ${id}`)
      .digest("hex");
    if (first === undefined || weight < first.weight) first = { id, weight };
  }
  return first?.id;
}

/** Registers a call that needs an isolated run and requests it. */
export function requestIsolatedRun(
  state: QuarantineState,
  event: Extract<QuarantineEvent, { type: "trial-asked" }>,
): readonly QuarantineEffect[] {
  const { fingerprint, trial, deadlineAt, members, now } = event;
  if (state.requested.size >= MAX_REQUESTED_ISOLATED_RUNS) {
    return [{ type: "resolve", trial, verdict: { type: "busy" } }];
  }
  state.requested.set(trial, { fingerprint, deadlineAt, nextAt: now });
  return pursueIsolatedRun(state, trial, members, now);
}

/** Repeats the request to the arbiter when due, or ends the wait. */
export function pursueIsolatedRun(
  state: QuarantineState,
  trial: string,
  members: readonly NodeId[],
  now: MonotonicMs,
): readonly QuarantineEffect[] {
  const request = state.requested.get(trial);
  if (request === undefined) return [];
  const { fingerprint, deadlineAt } = request;
  const verdict = verdictOf(state, fingerprint);
  if (verdict !== undefined) return resolve(state, trial, verdict);
  if (now >= deadlineAt) return resolve(state, trial, { type: "busy" });
  if (now < request.nextAt) return [];
  request.nextAt = now + REQUEST_INTERVAL_MS;
  const to = arbiterOf(fingerprint, members);
  if (to === undefined) return [];
  const leftMs = deadlineAt - now;
  // The arbiter may not know of the crash, so the row is sent first.
  const rows = [rowOf(state, fingerprint)];
  return [
    send(to, { type: "quarantine/rows", rows }),
    send(to, { type: "quarantine/ask", fingerprint, trial, leftMs }),
  ];
}

/**
 * Grants or denies an isolated run at the arbiter: one per fingerprint at a
 * time.
 */
export function answerIsolatedRunRequest(
  state: QuarantineState,
  ask: Extract<QuarantineMessage, { type: "quarantine/ask" }>,
  now: MonotonicMs,
): QuarantineMessage {
  const { fingerprint, trial } = ask;
  const current = state.granted.get(fingerprint);
  const isFree = current === undefined || current.endsAt <= now ||
    current.trial === trial;
  const isGranted = isFree && state.granted.size < MAX_GRANTED_RUNS &&
    levelOf(state, fingerprint) === SuspicionLevel.Suspect;
  if (isGranted) {
    const endsAt = now + ask.leftMs + GRANT_GRACE_MS;
    state.granted.set(fingerprint, { trial, endsAt });
  }
  const row = rowOf(state, fingerprint);
  return { type: "quarantine/answer", trial, isGranted, row };
}

/** Handles the arbiter's answer at the node that sent the request. */
export function handleIsolatedRunAnswer(
  state: QuarantineState,
  message: Extract<QuarantineMessage, { type: "quarantine/answer" }>,
  from: NodeId,
): readonly QuarantineEffect[] {
  const { trial, isGranted, row } = message;
  const { fingerprint } = row;
  const request = state.requested.get(trial);
  if (request === undefined) {
    // A grant for a call that no longer waits is returned, so that other calls
    // don't wait for its end. A duplicate grant must not end a current run.
    if (!isGranted || state.ownGrants.has(trial)) return [];
    return [send(from, { type: "quarantine/over", fingerprint, trial, row })];
  }
  const verdict = verdictOf(state, request.fingerprint);
  if (verdict === undefined && !isGranted) return [];
  return resolve(state, trial, verdict ?? { type: "run-alone", trial });
}

/**
 * Notifies the arbiter that an isolated run has ended. Returns no effects for a
 * call that was not isolated.
 */
export function endIsolatedRun(
  state: QuarantineState,
  running: RunningCall,
  members: readonly NodeId[],
): readonly QuarantineEffect[] {
  const { fingerprint, trial } = running;
  if (trial === "") return [];
  state.ownGrants.delete(trial);
  const to = arbiterOf(fingerprint, members);
  if (to === undefined) return [];
  const row = rowOf(state, fingerprint);
  return [send(to, { type: "quarantine/over", fingerprint, trial, row })];
}

/** Returns the verdict for a fingerprint's level, undefined for a suspect. */
function verdictOf(
  state: QuarantineState,
  fingerprint: Fingerprint,
): IsolatedRunVerdict | undefined {
  const level = levelOf(state, fingerprint);
  switch (level) {
    case SuspicionLevel.Clear:
      return { type: "run" };
    case SuspicionLevel.Quarantined:
      return { type: "convicted" };
    case SuspicionLevel.Suspect:
      return undefined;
    default:
      return exhausted(level);
  }
}

function resolve(
  state: QuarantineState,
  trial: string,
  verdict: IsolatedRunVerdict,
): readonly QuarantineEffect[] {
  state.requested.delete(trial);
  if (verdict.type === "run-alone") state.ownGrants.add(trial);
  return [{ type: "resolve", trial, verdict }];
}

function send(to: NodeId, message: QuarantineMessage): QuarantineEffect {
  return { type: "send", to, message };
}
