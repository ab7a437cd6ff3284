/**
 * Appends this process's records to the log so that each takes effect at most
 * once.
 *
 * One batch is in flight at a time, in order of sequence numbers. After a
 * failed append the same records are sent again; the fold drops repeats of
 * `(writer, seq)`. Every record is settled within `SETTLE_WITHIN_MS`: either
 * with the verdict of the fold, or as unsettled, which states whether the
 * record may still take effect.
 * @module
 */
import { exhausted } from "../core/exhausted.ts";
import type { MonotonicMs } from "../core/types.ts";
import type { ConfigRecord, Envelope } from "./messages.ts";
import { type SubmitOutcome, UnsettledCode, type Verdict } from "./state.ts";

/**
 * Limit on the records that wait to be settled, which bounds memory. Further
 * records are refused.
 */
export const MAX_WAITING_RECORDS = 1_000;

/**
 * Limit on the characters of records that wait to be settled, which bounds
 * memory. A record that would exceed it is refused.
 */
export const MAX_WAITING_LENGTH = 8 * 1024 * 1024;

/** Maximum number of records in one append request. */
export const MAX_BATCH_RECORDS = 100;

/**
 * Maximum number of characters in one append request. A longer record is sent
 * alone.
 */
export const MAX_BATCH_LENGTH = 1024 * 1024;

/** Maximum time from submission until a record is settled, in milliseconds. */
export const SETTLE_WITHIN_MS = 15_000;

const MIN_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 5_000;

/** A submitted record that is not settled yet. */
export interface PendingRecord {
  readonly envelope: Envelope;
  /** Characters of the encoded record. */
  readonly length: number;
  readonly giveUpAt: MonotonicMs;
  /** True once the record was sent, so it may take effect. */
  isSent: boolean;
  /** True once the log confirmed the append. Only the verdict is missing. */
  isAppended: boolean;
}

/** State of the records that this process appends. */
export interface AppendState {
  readonly writer: string;
  nextSeq: number;
  /** Records that are not settled yet, oldest first. */
  pending: PendingRecord[];
  /** Highest sequence number of the batch in flight, 0 when there is none. */
  sentThrough: number;
  failures: number;
  retryAt: MonotonicMs;
}

export type AppendEvent =
  | {
    readonly type: "submitted";
    readonly record: ConfigRecord;
    /** Characters of the encoded record. */
    readonly length: number;
    /** Wall-clock time of the submission, ISO 8601. */
    readonly at: string;
    readonly now: MonotonicMs;
  }
  /** The log confirmed the append of the batch in flight. */
  | { readonly type: "replied"; readonly now: MonotonicMs }
  /** The append of the batch failed, so the log may hold it or not. */
  | {
    readonly type: "failed";
    readonly now: MonotonicMs;
    /** Random number from 0 to 1, for jitter. */
    readonly random: number;
  }
  /** The fold reached the record `seq` of this writer. */
  | {
    readonly type: "folded";
    readonly seq: number;
    readonly verdict: Verdict;
    readonly now: MonotonicMs;
  }
  /**
   * A snapshot was loaded in place of records, among them those of this writer
   * up to `seq`.
   */
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

/** Creates the state of a writer. No other process may use its name. */
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

/** Handles one event of the writer. */
export function decideAppend(
  state: AppendState,
  event: AppendEvent,
): readonly AppendEffect[] {
  switch (event.type) {
    case "submitted":
      return submit(state, event);
    case "replied":
      for (const one of state.pending) {
        if (one.envelope.seq <= state.sentThrough) one.isAppended = true;
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
    isAppended: false,
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

/** Settles the matching records as unsettled. They are not sent again. */
function giveUp(
  state: AppendState,
  isExpired: (one: PendingRecord) => boolean,
  code: UnsettledCode,
): readonly AppendEffect[] {
  const expired = state.pending.filter(isExpired);
  if (expired.length === 0) return [];
  state.pending = state.pending.filter((one) => !isExpired(one));
  return expired.map((one) => unsettled(one.envelope.seq, code, one.isSent));
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
  const batch = selectBatch(state.pending.filter((one) => !one.isAppended));
  const last = batch.at(-1);
  if (last === undefined) return [];
  for (const one of batch) one.isSent = true;
  state.sentThrough = last.envelope.seq;
  return [{ type: "append", envelopes: batch.map((one) => one.envelope) }];
}

function selectBatch(records: readonly PendingRecord[]): PendingRecord[] {
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

/**
 * Exponential backoff, in milliseconds: a random delay between
 * `MIN_BACKOFF_MS` and a ceiling that doubles with each failure, up to
 * `MAX_BACKOFF_MS`.
 */
function backoffMs(failures: number, random: number): number {
  const ceiling = Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2 ** failures);
  return MIN_BACKOFF_MS + random * (ceiling - MIN_BACKOFF_MS);
}
