/**
 * Decides on trials: a suspect runs alone, one at a time in the domain.
 *
 * Each fingerprint has an arbiter, the member that is first by rendezvous
 * hash, so that trials of different requests don't wait for each other.
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

/** Calls that may wait for a trial at one node. */
export const MAX_REQUESTED_ISOLATED_RUNS = 1_000;

const maxGranted = 4_096;
const askAgainMs = 25;
/** Lost grants are free again this long after their call's deadline. */
const grantGraceMs = 1_000;

/** The member that grants a fingerprint's trials. */
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

/** Takes a call that waits for its trial. */
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

/** Asks the arbiter again, or ends the wait. */
export function pursueIsolatedRun(
  state: QuarantineState,
  trial: string,
  members: readonly NodeId[],
  now: MonotonicMs,
): readonly QuarantineEffect[] {
  const asked = state.requested.get(trial);
  if (asked === undefined) return [];
  const { fingerprint, deadlineAt } = asked;
  const verdict = verdictOf(state, fingerprint);
  if (verdict !== undefined) return resolve(state, trial, verdict);
  if (now >= deadlineAt) return resolve(state, trial, { type: "busy" });
  if (now < asked.nextAt) return [];
  asked.nextAt = now + askAgainMs;
  const to = arbiterOf(fingerprint, members);
  if (to === undefined) return [];
  const leftMs = deadlineAt - now;
  // The arbiter may have missed the crash, so the row goes first.
  const rows = [rowOf(state, fingerprint)];
  return [
    send(to, { type: "quarantine/rows", rows }),
    send(to, { type: "quarantine/ask", fingerprint, trial, leftMs }),
  ];
}

/** The arbiter's answer: one trial of a fingerprint at a time. */
export function answerIsolatedRunRequest(
  state: QuarantineState,
  ask: Extract<QuarantineMessage, { type: "quarantine/ask" }>,
  now: MonotonicMs,
): QuarantineMessage {
  const { fingerprint, trial } = ask;
  const current = state.granted.get(fingerprint);
  const isFree = current === undefined || current.endsAt <= now ||
    current.trial === trial;
  const isGranted = isFree && state.granted.size < maxGranted &&
    levelOf(state, fingerprint) === SuspicionLevel.Suspect;
  if (isGranted) {
    const endsAt = now + ask.leftMs + grantGraceMs;
    state.granted.set(fingerprint, { trial, endsAt });
  }
  const row = rowOf(state, fingerprint);
  return { type: "quarantine/answer", trial, isGranted, row };
}

/** Takes the arbiter's answer at the node that asked. */
export function handleIsolatedRunAnswer(
  state: QuarantineState,
  message: Extract<QuarantineMessage, { type: "quarantine/answer" }>,
  from: NodeId,
): readonly QuarantineEffect[] {
  const { trial, isGranted, row } = message;
  const { fingerprint } = row;
  const asked = state.requested.get(trial);
  if (asked === undefined) {
    // A grant to a call that gave up must not keep others waiting. A doubled
    // grant of a trial that goes on must not end it.
    if (!isGranted || state.taken.has(trial)) return [];
    return [send(from, { type: "quarantine/over", fingerprint, trial, row })];
  }
  const verdict = verdictOf(state, asked.fingerprint);
  if (verdict === undefined && !isGranted) return [];
  return resolve(state, trial, verdict ?? { type: "run-alone", trial });
}

/** Tells the arbiter that a trial is over. Nothing for other calls. */
export function endIsolatedRun(
  state: QuarantineState,
  running: RunningCall,
  members: readonly NodeId[],
): readonly QuarantineEffect[] {
  const { fingerprint, trial } = running;
  if (trial === "") return [];
  state.taken.delete(trial);
  const to = arbiterOf(fingerprint, members);
  if (to === undefined) return [];
  const row = rowOf(state, fingerprint);
  return [send(to, { type: "quarantine/over", fingerprint, trial, row })];
}

/** What the level alone decides, none for a suspect. */
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
  if (verdict.type === "run-alone") state.taken.add(trial);
  return [{ type: "resolve", trial, verdict }];
}

function send(to: NodeId, message: QuarantineMessage): QuarantineEffect {
  return { type: "send", to, message };
}
