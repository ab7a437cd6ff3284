/**
 * Gets this process's records into the log, each with an effect at most once.
 *
 * One batch is on its way at a time, in order of sequence. After a failed
 * append the same records go out again; the fold drops repeats of
 * `(writer, seq)`. Every record is settled within its time: by the fold's
 * verdict, or as unsettled with whether it may have taken effect.
 * @module
 */
import { exhausted } from "../core/exhausted.ts";
import type { MonotonicMs } from "../core/types.ts";
import type { ConfigRecord, Envelope } from "./messages.ts";
import { type SubmitOutcome, UnsettledCode, type Verdict } from "./state.ts";

/** Records that may wait. More are refused, so memory stays bounded. */
export const MAX_WAITING_RECORDS = 1_000;

/** Characters of records that may wait. */
export const MAX_WAITING_LENGTH = 8 * 1024 * 1024;

/** Records sent in one request. */
export const MAX_BATCH_RECORDS = 100;

/** Characters sent in one request, unless one record has more. */
export const MAX_BATCH_LENGTH = 1024 * 1024;

/** Longest time until a record is settled, in milliseconds. */
export const SETTLE_WITHIN_MS = 15_000;

const minBackoffMs = 100;
const maxBackoffMs = 5_000;

/** A record on its way to the log. */
export interface PendingRecord {
  readonly envelope: Envelope;
  /** Characters as encoded. */
  readonly length: number;
  readonly giveUpAt: MonotonicMs;
  /** It was in a request, so it may take effect. */
  isSent: boolean;
  /** The log said that it has it. Only the fold's verdict is missing. */
  isKept: boolean;
}

/** State of the records that this process writes. */
export interface AppendState {
  readonly writer: string;
  nextSeq: number;
  /** Not yet settled, oldest first. */
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
    /** Characters of the record as encoded. */
    readonly length: number;
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
  /** A snapshot skipped records, this writer's up to `seq` among them. */
  | {
    readonly type: "skipped";
    readonly seq: number;
    readonly now: MonotonicMs;
  }
  | { readonly type: "ticked"; readonly now: MonotonicMs }
  | { readonly type: "closed" };

export type AppendEffect =
  | { readonly type: "append"; readonly envelopes: readonly Envelope[] }
  | {
    readonly type: "settle";
    readonly seq: number;
    readonly outcome: SubmitOutcome;
  };

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
      for (const one of state.pending) {
        if (one.envelope.seq <= state.sentThrough) one.isKept = true;
      }
      state.failures = 0;
      state.retryAt = event.now;
      state.sentThrough = 0;
      return sendNext(state, event.now);
    case "failed":
      state.failures++;
      state.retryAt = event.now + backoffMs(state.failures, event.random);
      state.sentThrough = 0;
      return [];
    case "folded":
      return settle(state, event);
    case "skipped":
      return giveUp(
        state,
        (one) => one.envelope.seq <= event.seq,
        UnsettledCode.Skipped,
      );
    case "ticked":
      return [
        ...giveUp(
          state,
          (one) => one.giveUpAt <= event.now,
          UnsettledCode.Timeout,
        ),
        ...sendNext(state, event.now),
      ];
    case "closed":
      return giveUp(state, () => true, UnsettledCode.Closed);
    default:
      return exhausted(event);
  }
}

function submit(
  state: AppendState,
  event: Extract<AppendEvent, { type: "submitted" }>,
): readonly AppendEffect[] {
  const { record, length, at, now } = event;
  const seq = state.nextSeq++;
  const waiting = state.pending.reduce((sum, one) => sum + one.length, 0);
  const isFull = state.pending.length >= MAX_WAITING_RECORDS ||
    waiting + length > MAX_WAITING_LENGTH;
  if (isFull) {
    return [unsettled(seq, UnsettledCode.Overflow, false)];
  }
  state.pending.push({
    envelope: { writer: state.writer, seq, at, record },
    length,
    giveUpAt: now + SETTLE_WITHIN_MS,
    isSent: false,
    isKept: false,
  });
  return sendNext(state, now);
}

function settle(
  state: AppendState,
  event: Extract<AppendEvent, { type: "folded" }>,
): readonly AppendEffect[] {
  const { seq, verdict } = event;
  const index = state.pending.findIndex((one) => one.envelope.seq === seq);
  if (index < 0) return [];
  state.pending.splice(index, 1);
  return [{ type: "settle", seq, outcome: verdict }];
}

/** Settles records without a verdict. They are not sent again. */
function giveUp(
  state: AppendState,
  isOver: (one: PendingRecord) => boolean,
  code: UnsettledCode,
): readonly AppendEffect[] {
  const over = state.pending.filter(isOver);
  if (over.length === 0) return [];
  state.pending = state.pending.filter((one) => !isOver(one));
  return over.map((one) => unsettled(one.envelope.seq, code, one.isSent));
}

function unsettled(
  seq: number,
  code: UnsettledCode,
  mayTakeEffect: boolean,
): AppendEffect {
  return {
    type: "settle",
    seq,
    outcome: { type: "unsettled", code, mayTakeEffect },
  };
}

function sendNext(
  state: AppendState,
  now: MonotonicMs,
): readonly AppendEffect[] {
  if (state.sentThrough > 0 || now < state.retryAt) return [];
  const batch = takeBatch(state.pending.filter((one) => !one.isKept));
  const last = batch.at(-1);
  if (last === undefined) return [];
  for (const one of batch) one.isSent = true;
  state.sentThrough = last.envelope.seq;
  return [{ type: "append", envelopes: batch.map((one) => one.envelope) }];
}

function takeBatch(records: readonly PendingRecord[]): PendingRecord[] {
  const batch: PendingRecord[] = [];
  let length = 0;
  for (const one of records) {
    length += one.length;
    const isFull = batch.length >= MAX_BATCH_RECORDS ||
      length > MAX_BATCH_LENGTH;
    if (isFull && batch.length > 0) break;
    batch.push(one);
  }
  return batch;
}

/** Exponential back-off with full jitter, in milliseconds. */
function backoffMs(failures: number, random: number): number {
  const ceiling = Math.min(maxBackoffMs, minBackoffMs * 2 ** failures);
  return minBackoffMs + random * (ceiling - minBackoffMs);
}
