/**
 * Decides for a node that takes calls with an idempotency key: whom to ask,
 * whether the call may run, and how its end gets recorded.
 * @module
 */
import { exhausted } from "../core/exhausted.ts";
import type { MonotonicMs, NodeId } from "../core/types.ts";
import { concludeClaimRequest } from "./conclude_claim_request.ts";
import type { ClaimVerdict, RunOutcome } from "./messages.ts";
import {
  AttemptStep,
  type ClaimAttempt,
  type ClaimOutcome,
  type ClaimRequestEffect,
  type ClaimRequestEvent,
  type ClaimRequestState,
} from "./state.ts";

/** Calls with a key that a node may hold at once. */
export const MAX_CLAIM_REQUESTS = 4_096;

/** Bytes of answers that a node holds until they are recorded. */
export const MAX_HELD_BYTES = 1024 * 1024;

const resendMs = 300;
const pollMs = 100;
const awayPauseMs = 20;
const maxAways = 4;
const maxFinishGapMs = 5_000;
const maxAskMs = 10_000;

/** Creates the state of a node whose `writer` is unique for each start. */
export function createClaimRequestState(writer: string): ClaimRequestState {
  return { writer, nextSeq: 1, heldBytes: 0, attempts: new Map() };
}

/** Takes one event of the asking node in turn. */
export function decideClaimRequest(
  state: ClaimRequestState,
  event: ClaimRequestEvent,
): readonly ClaimRequestEffect[] {
  switch (event.type) {
    case "asked":
      return ask(state, event);
    case "received":
      return receive(state, event);
    case "settled": {
      const known = state.attempts.get(event.attempt);
      if (known?.step !== AttemptStep.Running) return [];
      finish(state, known, event.outcome, event.now);
      return sendDue(known, event.readers, event.now);
    }
    case "ticked":
      return [...state.attempts.values()].flatMap((one) =>
        tick(state, one, event.readers, event.now)
      );
    default:
      return exhausted(event);
  }
}

function ask(
  state: ClaimRequestState,
  event: Extract<ClaimRequestEvent, { type: "asked" }>,
): readonly ClaimRequestEffect[] {
  const { key, digest, readers, now } = event;
  const attempt = `${state.writer}/${state.nextSeq++}`;
  if (state.attempts.size >= MAX_CLAIM_REQUESTS && !dropEnded(state)) {
    const reason = "too many calls with a key wait on this node";
    return [resolve(attempt, concludeClaimRequest(undefined, reason))];
  }
  const leftMs = Math.max(0, Math.ceil(event.deadlineAt - now));
  const asking: ClaimAttempt = {
    claim: { type: "claim", key, attempt, digest, leftMs },
    deadlineAt: Math.min(event.deadlineAt, now + maxAskMs),
    step: AttemptStep.Asking,
    sends: 0,
    replies: 0,
    aways: 0,
    nextAt: now,
    lastVerdict: undefined,
    end: undefined,
  };
  state.attempts.set(attempt, asking);
  return tick(state, asking, readers, now);
}

/** Makes room. A key whose release is lost stays ambiguous, never free. */
function dropEnded(state: ClaimRequestState): boolean {
  for (const [attempt, one] of state.attempts) {
    if (one.step !== AttemptStep.Finishing) continue;
    drop(state, attempt, one);
    return true;
  }
  return false;
}

function drop(state: ClaimRequestState, attempt: string, one: ClaimAttempt) {
  state.heldBytes -= bytesOf(one);
  state.attempts.delete(attempt);
}

function receive(
  state: ClaimRequestState,
  event: Extract<ClaimRequestEvent, { type: "received" }>,
): readonly ClaimRequestEffect[] {
  const { message, now } = event;
  const known = state.attempts.get(message.attempt);
  switch (message.type) {
    case "once/finished":
      if (known?.step === AttemptStep.Finishing) {
        drop(state, message.attempt, known);
      }
      return [];
    case "once/verdict":
      // A late or doubled verdict must not start a second run.
      if (known?.step !== AttemptStep.Asking) return [];
      known.replies++;
      return take(state, known, message.verdict, now);
    default:
      return exhausted(message);
  }
}

function take(
  state: ClaimRequestState,
  known: ClaimAttempt,
  verdict: ClaimVerdict,
  now: MonotonicMs,
): readonly ClaimRequestEffect[] {
  known.lastVerdict = verdict;
  const { attempt } = known.claim;
  switch (verdict.type) {
    case "won":
      if (now >= known.deadlineAt) return giveUp(state, known, now);
      known.step = AttemptStep.Running;
      return [resolve(attempt, { type: "run", attempt })];
    case "done":
    case "mismatch":
      return giveUp(state, known, now);
    case "held":
      if (!verdict.isLive) return giveUp(state, known, now);
      known.nextAt = now + pollMs;
      return [];
    case "away":
      known.aways++;
      if (known.aways >= maxAways) return giveUp(state, known, now);
      known.nextAt = now + awayPauseMs;
      return [];
    default:
      return exhausted(verdict);
  }
}

/** Ends an attempt that did not run and will not. */
function giveUp(
  state: ClaimRequestState,
  known: ClaimAttempt,
  now: MonotonicMs,
): readonly ClaimRequestEffect[] {
  const { attempt } = known.claim;
  const { lastVerdict } = known;
  const outcome = concludeClaimRequest(
    lastVerdict,
    "no reader of claims decided",
  );
  // A claim may be on its way to the log, where it would hold the key.
  const mayHold = known.sends > known.replies || lastVerdict?.type === "won";
  if (mayHold) finish(state, known, undefined, now);
  else state.attempts.delete(attempt);
  return [resolve(attempt, outcome)];
}

function finish(
  state: ClaimRequestState,
  known: ClaimAttempt,
  outcome: RunOutcome | undefined,
  now: MonotonicMs,
) {
  const { key, attempt } = known.claim;
  known.step = AttemptStep.Finishing;
  known.sends = 0;
  known.nextAt = now;
  known.end = outcome === undefined
    ? { type: "release", key, attempt }
    : { type: "outcome", key, attempt, outcome: fit(state, outcome) };
  state.heldBytes += bytesOf(known);
}

/** Leaves the body out when the node holds too many already. */
function fit(state: ClaimRequestState, outcome: RunOutcome): RunOutcome {
  if (outcome.type === "unknown" || outcome.body === undefined) return outcome;
  if (state.heldBytes + outcome.body.length <= MAX_HELD_BYTES) return outcome;
  const { type, status, headers } = outcome;
  return { type, status, headers };
}

function bytesOf(known: ClaimAttempt): number {
  const { end } = known;
  if (end?.type !== "outcome" || end.outcome.type === "unknown") return 0;
  return end.outcome.body?.length ?? 0;
}

function tick(
  state: ClaimRequestState,
  known: ClaimAttempt,
  readers: readonly NodeId[],
  now: MonotonicMs,
): readonly ClaimRequestEffect[] {
  const isOverdue = known.step === AttemptStep.Asking &&
    now >= known.deadlineAt;
  if (isOverdue) return giveUp(state, known, now);
  return sendDue(known, readers, now);
}

function sendDue(
  known: ClaimAttempt,
  readers: readonly NodeId[],
  now: MonotonicMs,
): readonly ClaimRequestEffect[] {
  if (known.step === AttemptStep.Running || now < known.nextAt) return [];
  const to = readers[(known.sends + known.aways) % readers.length];
  if (to === undefined) return [];
  known.sends++;
  if (known.end !== undefined) {
    known.nextAt = now + Math.min(maxFinishGapMs, resendMs * known.sends);
    return [send(to, { type: "once/finish", item: known.end })];
  }
  known.nextAt = now + resendMs;
  return [send(to, { type: "once/claim", claim: known.claim })];
}

function send(
  to: NodeId,
  message: Extract<ClaimRequestEffect, { type: "send" }>["message"],
): ClaimRequestEffect {
  return { type: "send", to, message };
}

function resolve(attempt: string, outcome: ClaimOutcome): ClaimRequestEffect {
  return { type: "resolve", attempt, outcome };
}
