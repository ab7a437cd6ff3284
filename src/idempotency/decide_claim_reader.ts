/**
 * Decides for a claim reader, a node that reads the `claims` stream, what to
 * append to the stream and which verdicts to send.
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

/**
 * Limit on the keys that a reader holds. At the limit, the reader answers a
 * claim for a new key with `away`, so its call does not run.
 */
export const MAX_HELD_CLAIMS = 32_768;

/**
 * Limit on a reader's items to append plus its claims without a verdict. At the
 * limit, a claim for a new key is answered with `away`. The end of an attempt
 * is ignored (its node sends it again) when the items to append alone reach
 * the limit.
 */
export const MAX_PENDING_ITEMS = 2_000;

/**
 * Limits on a batch, which is one record of the stream. A batch has at least
 * one item even if that item is longer.
 */
const MAX_BATCH_ITEMS = 200;
const MAX_BATCH_CHARS = 256 * 1024;

/** Estimated length of an item without its body. */
const ITEM_OVERHEAD_CHARS = 512;

/** Minimum time between the end of an append and the next append. */
const MIN_APPEND_GAP_MS = 5;

/** Time from an append to the next while the reader is not ready. */
const STARTUP_APPEND_GAP_MS = 500;

const MIN_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 2_000;

/**
 * Time after which a waiting claim or end of an attempt is dropped unless its
 * node sends it again.
 */
const MAX_WAIT_MS = 10_000;

/** Number of failed appends in a row from which new keys are refused. */
const OUTAGE_FAILURES = 3;

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

/** Applies one event to the state and returns what to do. */
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
      return handleAppended(state, event.now);
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
      return handleClaim(state, from, message.claim, now);
    case "once/finish":
      return handleFinish(state, from, message.item, now);
    default:
      return exhausted(message);
  }
}

function handleFinish(
  state: ClaimReaderState,
  from: NodeId,
  item: OutcomeItem | ReleaseItem,
  now: MonotonicMs,
): readonly ClaimReaderEffect[] {
  const { attempt } = item;
  if (state.isReady && isFolded(state.claims, item)) {
    return [createFinishedEffect(from, attempt)];
  }
  if (state.pending.length >= MAX_PENDING_ITEMS) return [];
  const isRepeat = state.finishing.has(attempt);
  state.finishing.set(attempt, { from, item, since: now });
  state.waiting.delete(attempt);
  if (!isRepeat) state.pending.push(item);
  return sendNext(state, now);
}

function handleClaim(
  state: ClaimReaderState,
  from: NodeId,
  claim: ClaimItem,
  now: MonotonicMs,
): readonly ClaimReaderEffect[] {
  const reason = findRefusalReason(state, claim.key);
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

function findRefusalReason(
  state: ClaimReaderState,
  key: string,
): string | undefined {
  if (!state.isReady) return "the reader has not read the claims yet";
  if (state.claims.held.has(key)) return undefined;
  if (state.failures >= OUTAGE_FAILURES) return "the log is away";
  if (state.claims.held.size >= MAX_HELD_CLAIMS) return "too many claims held";
  const waiting = state.pending.length + state.waiting.size;
  return waiting >= MAX_PENDING_ITEMS ? "too many claims wait" : undefined;
}

function createFinishedEffect(to: NodeId, attempt: string): ClaimReaderEffect {
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
    // Every reader that folds this record drops the keys whose newest item is
    // below the record's floor, so all remaining keys are in records that this
    // reader has read.
    if (batch.value.floor >= state.startedFrom) state.isReady = true;
  }
  const effects = [...resolveWaiting(state, now), ...confirmFinished(state)];
  state.pending = state.pending.filter((one) => !isFolded(state.claims, one));
  return [...effects, ...sendNext(state, now)];
}

function resolveWaiting(
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

function confirmFinished(state: ClaimReaderState): ClaimReaderEffect[] {
  const effects: ClaimReaderEffect[] = [];
  for (const [attempt, { from, item }] of state.finishing) {
    if (!isFolded(state.claims, item)) continue;
    state.finishing.delete(attempt);
    effects.push(createFinishedEffect(from, attempt));
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

function handleAppended(
  state: ClaimReaderState,
  now: MonotonicMs,
): readonly ClaimReaderEffect[] {
  const latencyMs = now - state.sentAt;
  // The gap grows with the latency, so readers append less often to an
  // overloaded log.
  const gapMs = Math.max(MIN_APPEND_GAP_MS, latencyMs);
  state.nextAppendAt = now + (state.isReady ? gapMs : STARTUP_APPEND_GAP_MS);
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
  const items = dequeueBatch(state);
  state.sent = items;
  state.sentAt = now;
  const { writer, oldest: floor } = state;
  const batch: ClaimBatch = { writer, floor, items };
  return [{ type: "append", body: JSON.stringify(batch) }];
}

function dequeueBatch(state: ClaimReaderState): ClaimStreamItem[] {
  let chars = 0;
  const end = state.pending.findIndex((item, index) => {
    chars += estimateChars(item);
    return index > 0 && (index >= MAX_BATCH_ITEMS || chars > MAX_BATCH_CHARS);
  });
  return state.pending.splice(0, end < 0 ? state.pending.length : end);
}

function estimateChars(item: ClaimStreamItem): number {
  const body = item.type === "outcome" && item.outcome.type === "answered"
    ? item.outcome.body?.length ?? 0
    : 0;
  return body + ITEM_OVERHEAD_CHARS;
}

function dropOverdue(state: ClaimReaderState, now: MonotonicMs) {
  for (const [attempt, one] of state.finishing) {
    if (now - one.since > MAX_WAIT_MS) state.finishing.delete(attempt);
  }
  for (const [attempt, one] of state.waiting) {
    if (now - one.since > MAX_WAIT_MS) state.waiting.delete(attempt);
  }
}

/**
 * Returns an exponential backoff with jitter: a random time between
 * `MIN_BACKOFF_MS` and a ceiling that doubles with each failure.
 */
function backoffMs(failures: number, random: number): number {
  const ceiling = Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2 ** failures);
  return MIN_BACKOFF_MS + random * (ceiling - MIN_BACKOFF_MS);
}
