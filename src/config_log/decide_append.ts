/**
 * Gets this process's records into the log exactly once.
 *
 * One batch is on its way at a time, in order of sequence. After a lost reply
 * the same records go out again unless the fold has shown them meanwhile; the
 * fold drops repeats of `(writer, seq)`.
 * @module
 */
import { exhausted } from "../core/exhausted.ts";
import type { MonotonicMs } from "../core/types.ts";
import type { ConfigRecord, Envelope } from "./messages.ts";
import type { Verdict } from "./state.ts";

/** Records that may wait. More are refused, so memory stays bounded. */
export const maxWaitingRecords = 1_000;

/** Records sent in one request. */
export const maxBatch = 100;

const minBackoffMs = 100;
const maxBackoffMs = 5_000;

/** A record on its way to the log. */
export interface PendingRecord {
  readonly envelope: Envelope;
}

/** State of the records that this process writes. */
export interface AppendState {
  readonly writer: string;
  nextSeq: number;
  /** Not yet seen in the fold, oldest first. */
  pending: PendingRecord[];
  /** Highest sequence number of the batch on its way, 0 when none is. */
  sentThrough: number;
  failures: number;
  retryAt: MonotonicMs;
}

export type AppendEvent =
  | {
    readonly type: "submitted";
    readonly record: ConfigRecord;
    /** Wall clock, ISO 8601. */
    readonly at: string;
    readonly now: MonotonicMs;
  }
  | { readonly type: "replied"; readonly now: MonotonicMs }
  | {
    readonly type: "failed";
    readonly now: MonotonicMs;
    /** Random number from 0 to 1, for jitter. */
    readonly random: number;
  }
  | {
    readonly type: "folded";
    readonly seq: number;
    readonly verdict: Verdict;
    readonly now: MonotonicMs;
  }
  | { readonly type: "ticked"; readonly now: MonotonicMs };

export type AppendEffect =
  | { readonly type: "append"; readonly envelopes: readonly Envelope[] }
  | {
    readonly type: "settle";
    readonly seq: number;
    readonly verdict: Verdict;
  }
  | { readonly type: "overflow"; readonly record: ConfigRecord };

/** Creates the state of a writer whose name no other process has. */
export function createAppendState(writer: string): AppendState {
  return {
    writer,
    nextSeq: 1,
    pending: [],
    sentThrough: 0,
    failures: 0,
    retryAt: 0,
  };
}

/** Takes one event of the writer in turn. */
export function decideAppend(
  state: AppendState,
  event: AppendEvent,
): readonly AppendEffect[] {
  switch (event.type) {
    case "submitted":
      return submit(state, event);
    case "replied":
      state.failures = 0;
      // The fold still has to show the records: a later tick looks again.
      state.retryAt = event.now + maxBackoffMs;
      state.sentThrough = 0;
      return sendNext(state, event.now);
    case "failed":
      state.failures++;
      state.retryAt = event.now + backoffMs(state.failures, event.random);
      state.sentThrough = 0;
      return [];
    case "folded":
      return settle(state, event);
    case "ticked":
      return sendNext(state, event.now);
    default:
      return exhausted(event);
  }
}

function submit(
  state: AppendState,
  event: Extract<AppendEvent, { type: "submitted" }>,
): readonly AppendEffect[] {
  const { record, at, now } = event;
  if (state.pending.length >= maxWaitingRecords) {
    return [{ type: "overflow", record }];
  }
  const seq = state.nextSeq++;
  const envelope = { writer: state.writer, seq, at, record };
  state.pending.push({ envelope });
  // A fresh record need not wait for the look at older ones.
  if (state.failures === 0) state.retryAt = Math.min(state.retryAt, now);
  return sendNext(state, now);
}

function settle(
  state: AppendState,
  event: Extract<AppendEvent, { type: "folded" }>,
): readonly AppendEffect[] {
  const { seq, verdict } = event;
  const isPending = state.pending.some((one) => one.envelope.seq === seq);
  if (!isPending) return [];
  state.pending = state.pending.filter((one) => one.envelope.seq > seq);
  return [{ type: "settle", seq, verdict }, ...sendNext(state, event.now)];
}

function sendNext(
  state: AppendState,
  now: MonotonicMs,
): readonly AppendEffect[] {
  const isWaiting = state.sentThrough > 0 || now < state.retryAt;
  if (isWaiting || state.pending.length === 0) return [];
  const batch = state.pending.slice(0, maxBatch);
  const envelopes = batch.map((one) => one.envelope);
  state.sentThrough = envelopes.at(-1)?.seq ?? 0;
  return [{ type: "append", envelopes }];
}

/** Exponential back-off with full jitter, in milliseconds. */
function backoffMs(failures: number, random: number): number {
  const ceiling = Math.min(maxBackoffMs, minBackoffMs * 2 ** failures);
  return minBackoffMs + random * (ceiling - minBackoffMs);
}
