/**
 * Decides for a reader of the `claims` stream: what to append, whom to tell.
 * @module
 */
import { exhausted } from "../core/exhausted.ts";
import type { MonotonicMs, NodeId } from "../core/types.ts";
import { foldBatch } from "./fold_batch.ts";
import { isFolded } from "./is_folded.ts";
import { createVerdictEffect, findVerdict } from "./find_verdict.ts";
import type {
  ClaimBatch,
  ClaimItem,
  ClaimStreamItem,
  OutcomeItem,
  ReleaseItem,
} from "./messages.ts";
import type {
  ClaimReaderEffect,
  ClaimReaderEvent,
  ClaimReaderState,
} from "./state.ts";

/** Keys that a reader holds. Beyond, new ones are refused as not run. */
export const MAX_HELD_CLAIMS = 32_768;

/** Items and claims that may wait in a reader. */
export const MAX_PENDING_ITEMS = 2_000;

const maxBatchItems = 200;
const maxBatchChars = 256 * 1024;
const maxItemChars = 512;
const minGapMs = 5;
const readyGapMs = 500;
const minBackoffMs = 50;
const maxBackoffMs = 2_000;
const maxWaitMs = 10_000;
const outageFailures = 3;

/** Creates the state of a reader that has read nothing. */
export function createClaimReaderState(writer: string): ClaimReaderState {
  return {
    writer,
    claims: { next: 1, floor: 0, held: new Map() },
    isReady: false,
    startedFrom: 0,
    oldest: 0,
    pending: [],
    sent: undefined,
    sentAt: 0,
    nextAppendAt: 0,
    failures: 0,
    waiting: new Map(),
    finishing: new Map(),
  };
}

/** Takes one event of the reader in turn. */
export function decideClaimReader(
  state: ClaimReaderState,
  event: ClaimReaderEvent,
): readonly ClaimReaderEffect[] {
  switch (event.type) {
    case "received":
      return receive(state, event);
    case "read":
      return read(state, event);
    case "gone":
      return restart(state, event.oldest);
    case "appended":
      return noteAppended(state, event.now);
    case "append-failed":
      state.pending = [...state.sent ?? [], ...state.pending];
      state.sent = undefined;
      state.failures++;
      state.nextAppendAt = event.now + backoffMs(state.failures, event.random);
      return [];
    case "ticked":
      dropOverdue(state, event.now);
      return sendNext(state, event.now);
    default:
      return exhausted(event);
  }
}

function receive(
  state: ClaimReaderState,
  event: Extract<ClaimReaderEvent, { type: "received" }>,
): readonly ClaimReaderEffect[] {
  const { from, message, now } = event;
  switch (message.type) {
    case "once/claim":
      return takeClaim(state, from, message.claim, now);
    case "once/finish":
      return takeEnd(state, from, message.item, now);
    default:
      return exhausted(message);
  }
}

function takeEnd(
  state: ClaimReaderState,
  from: NodeId,
  item: OutcomeItem | ReleaseItem,
  now: MonotonicMs,
): readonly ClaimReaderEffect[] {
  const { attempt } = item;
  if (state.isReady && isFolded(state.claims, item)) {
    return [tellFinished(from, attempt)];
  }
  if (state.pending.length >= MAX_PENDING_ITEMS) return [];
  const isRepeat = state.finishing.has(attempt);
  state.finishing.set(attempt, { from, item, since: now });
  state.waiting.delete(attempt);
  if (!isRepeat) state.pending.push(item);
  return sendNext(state, now);
}

function takeClaim(
  state: ClaimReaderState,
  from: NodeId,
  claim: ClaimItem,
  now: MonotonicMs,
): readonly ClaimReaderEffect[] {
  const reason = reasonToRefuse(state, claim.key);
  if (reason !== undefined) {
    return [createVerdictEffect(from, claim.attempt, { type: "away", reason })];
  }
  const verdict = findVerdict(state.claims, from, claim, now);
  if (verdict !== undefined) return [verdict];
  const isRepeat = state.waiting.has(claim.attempt);
  state.waiting.set(claim.attempt, { from, claim, since: now });
  if (!isRepeat) state.pending.push(claim);
  return sendNext(state, now);
}

function reasonToRefuse(
  state: ClaimReaderState,
  key: string,
): string | undefined {
  if (!state.isReady) return "the reader has not read the claims yet";
  if (state.claims.held.has(key)) return undefined;
  if (state.failures >= outageFailures) return "the log is away";
  if (state.claims.held.size >= MAX_HELD_CLAIMS) return "too many claims held";
  const waiting = state.pending.length + state.waiting.size;
  return waiting >= MAX_PENDING_ITEMS ? "too many claims wait" : undefined;
}

function tellFinished(to: NodeId, attempt: string): ClaimReaderEffect {
  return { type: "send", to, message: { type: "once/finished", attempt } };
}

function read(
  state: ClaimReaderState,
  event: Extract<ClaimReaderEvent, { type: "read" }>,
): readonly ClaimReaderEffect[] {
  const { now } = event;
  state.oldest = Math.max(state.oldest, event.oldest);
  for (const record of event.records) {
    if (record.offset < state.claims.next) continue;
    const batch = foldBatch({ state: state.claims, record, now });
    if (batch.isErr() || batch.value.writer !== state.writer) continue;
    // From here on no reader remembers more than this one has read.
    if (batch.value.floor >= state.startedFrom) state.isReady = true;
  }
  const effects = [...judgeWaiting(state, now), ...noteFinished(state)];
  state.pending = state.pending.filter((one) => !isFolded(state.claims, one));
  return [...effects, ...sendNext(state, now)];
}

function judgeWaiting(
  state: ClaimReaderState,
  now: MonotonicMs,
): ClaimReaderEffect[] {
  if (!state.isReady) return [];
  const effects: ClaimReaderEffect[] = [];
  for (const [attempt, { from, claim }] of state.waiting) {
    const verdict = findVerdict(state.claims, from, claim, now);
    if (verdict === undefined) continue;
    state.waiting.delete(attempt);
    effects.push(verdict);
  }
  return effects;
}

function noteFinished(state: ClaimReaderState): ClaimReaderEffect[] {
  const effects: ClaimReaderEffect[] = [];
  for (const [attempt, { from, item }] of state.finishing) {
    if (!isFolded(state.claims, item)) continue;
    state.finishing.delete(attempt);
    effects.push(tellFinished(from, attempt));
  }
  return effects;
}

function restart(
  state: ClaimReaderState,
  oldest: number,
): readonly ClaimReaderEffect[] {
  state.claims.held.clear();
  state.claims.floor = oldest;
  state.claims.next = oldest;
  state.startedFrom = oldest;
  state.oldest = oldest;
  state.isReady = false;
  return [];
}

function noteAppended(
  state: ClaimReaderState,
  now: MonotonicMs,
): readonly ClaimReaderEffect[] {
  const latencyMs = now - state.sentAt;
  // A loaded log answers late, so each reader asks it less often.
  const gapMs = Math.max(minGapMs, latencyMs);
  state.nextAppendAt = now + (state.isReady ? gapMs : readyGapMs);
  state.sent = undefined;
  state.failures = 0;
  return sendNext(state, now);
}

function sendNext(
  state: ClaimReaderState,
  now: MonotonicMs,
): readonly ClaimReaderEffect[] {
  const isIdle = state.isReady && state.pending.length === 0;
  const isWaiting = state.sent !== undefined || now < state.nextAppendAt;
  if (isWaiting || isIdle || state.oldest === 0) return [];
  const items = takeBatch(state);
  state.sent = items;
  state.sentAt = now;
  const { writer, oldest: floor } = state;
  const batch: ClaimBatch = { writer, floor, items };
  return [{ type: "append", body: JSON.stringify(batch) }];
}

function takeBatch(state: ClaimReaderState): ClaimStreamItem[] {
  let chars = 0;
  const end = state.pending.findIndex((item, index) => {
    chars += sizeOf(item);
    return index > 0 && (index >= maxBatchItems || chars > maxBatchChars);
  });
  return state.pending.splice(0, end < 0 ? state.pending.length : end);
}

function sizeOf(item: ClaimStreamItem): number {
  const body = item.type === "outcome" && item.outcome.type === "answered"
    ? item.outcome.body?.length ?? 0
    : 0;
  return body + maxItemChars;
}

function dropOverdue(state: ClaimReaderState, now: MonotonicMs) {
  for (const [attempt, one] of state.finishing) {
    if (now - one.since > maxWaitMs) state.finishing.delete(attempt);
  }
  for (const [attempt, one] of state.waiting) {
    if (now - one.since > maxWaitMs) state.waiting.delete(attempt);
  }
}

/** Exponential back-off with full jitter, in milliseconds. */
function backoffMs(failures: number, random: number): number {
  const ceiling = Math.min(maxBackoffMs, minBackoffMs * 2 ** failures);
  return minBackoffMs + random * (ceiling - minBackoffMs);
}
