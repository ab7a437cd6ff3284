/**
 * Decides for a node that received a call with an idempotency key: which claim
 * reader to ask, whether the call may run, and how its end is recorded.
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

/** Maximum number of calls with an idempotency key that a node tracks. */
export const MAX_CLAIM_REQUESTS = 4_096;

/**
 * Limit on the characters of answer bodies (in base64) that a node holds until
 * they are recorded.
 */
export const MAX_HELD_BYTES = 1024 * 1024;

/**
 * Time after which an unanswered claim is sent again. For the end of an attempt
 * the delay grows by this with each message.
 */
const RESEND_MS = 300;

/**
 * Time from a verdict that another running attempt holds the key to the next
 * claim.
 */
const POLL_MS = 100;

/** Delay before a claim is sent again when a reader could not decide. */
const UNDECIDED_BACKOFF_MS = 20;

/** Number of undecided answers from readers after which the call is refused. */
const MAX_UNDECIDED = 4;

/**
 * Limit on the delay before the end of an attempt is sent again. The delay
 * grows by `RESEND_MS` with each message.
 */
const MAX_FINISH_GAP_MS = 5_000;

/**
 * Limit on the time until a claim request is decided, even if the call's
 * deadline is later.
 */
const MAX_REQUEST_MS = 10_000;

/** Creates the state of a node. `writer` is unique per process start. */
export function createClaimRequestState(writer: string): ClaimRequestState {
  return { writer, nextSeq: 1, heldBytes: 0, attempts: new Map() };
}

/** Applies one event to the state and returns what to do. */
export function decideClaimRequest(
  state: ClaimRequestState,
  event: ClaimRequestEvent,
): readonly ClaimRequestEffect[] {
  switch (event.type) {
    case "asked":
      return startAttempt(state, event);
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

function startAttempt(
  state: ClaimRequestState,
  event: Extract<ClaimRequestEvent, { type: "asked" }>,
): readonly ClaimRequestEffect[] {
  const { key, digest, readers, now } = event;
  const attempt = `${state.writer}/${state.nextSeq++}`;
  if (state.attempts.size >= MAX_CLAIM_REQUESTS && !dropFinishing(state)) {
    const reason = "too many calls with a key wait on this node";
    return [resolve(attempt, concludeClaimRequest(undefined, reason))];
  }
  const leftMs = Math.max(0, Math.ceil(event.deadlineAt - now));
  const request: ClaimAttempt = {
    claim: { type: "claim", key, attempt, digest, leftMs },
    deadlineAt: Math.min(event.deadlineAt, now + MAX_REQUEST_MS),
    step: AttemptStep.Asking,
    sends: 0,
    replies: 0,
    undecided: 0,
    nextAt: now,
    lastVerdict: undefined,
    end: undefined,
  };
  state.attempts.set(attempt, request);
  return tick(state, request, readers, now);
}

/**
 * Drops the oldest attempt whose end is being recorded, to admit a new attempt.
 * A key whose release is lost in this way is never freed: its outcome stays
 * unknown.
 */
function dropFinishing(state: ClaimRequestState): boolean {
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
      // A late or duplicate verdict must not start a second run.
      if (known?.step !== AttemptStep.Asking) return [];
      known.replies++;
      return handleVerdict(state, known, message.verdict, now);
    default:
      return exhausted(message);
  }
}

function handleVerdict(
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
      known.nextAt = now + POLL_MS;
      return [];
    case "away":
      known.undecided++;
      if (known.undecided >= MAX_UNDECIDED) return giveUp(state, known, now);
      known.nextAt = now + UNDECIDED_BACKOFF_MS;
      return [];
    default:
      return exhausted(verdict);
  }
}

/** Ends an attempt that has not run and will not run. */
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
  // A claim without an answer may still reach the log and hold the key, so it
  // is released.
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
    : { type: "outcome", key, attempt, outcome: fitOutcome(state, outcome) };
  state.heldBytes += bytesOf(known);
}

/** Omits the body when the node holds too many bytes of answers. */
function fitOutcome(state: ClaimRequestState, outcome: RunOutcome): RunOutcome {
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
  const to = readers[(known.sends + known.undecided) % readers.length];
  if (to === undefined) return [];
  known.sends++;
  if (known.end !== undefined) {
    known.nextAt = now + Math.min(MAX_FINISH_GAP_MS, RESEND_MS * known.sends);
    return [send(to, { type: "once/finish", item: known.end })];
  }
  known.nextAt = now + RESEND_MS;
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
