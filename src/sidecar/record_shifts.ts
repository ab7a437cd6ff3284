/**
 * Writes the statuses of traffic shifts to the store, fenced by the lease.
 * @module
 */
import type { MonotonicMs, NodeId, WallMs } from "../core/types.ts";
import { createDeadline } from "../core/create_deadline.ts";
import { formatError } from "../core/errors.ts";
import { backoffWithHalfJitter } from "../core/backoff_with_half_jitter.ts";
import { type Log, LogLevel } from "../logs/create_log.ts";
import { acquireLease, FIRST_RECORD_SEQ } from "../store/acquire_lease.ts";
import type { KeyedStore } from "../store/state.ts";
import { encodeOrderTime } from "../traffic_shift/order_time.ts";
import type {
  TrafficShiftEffect,
  TrafficShiftEvent,
} from "../traffic_shift/state.ts";
import type { Platform } from "./platform_port.ts";

/** Name under which the store fences the writers of statuses. */
const PRODUCER = "moves";

/** Delays after failed requests for the lease, in milliseconds. */
const LEASE_BACKOFF_MS = { firstMs: 100, longestMs: 2_000 };

/**
 * Timeout of a call to the store, in milliseconds. A traffic shift has one
 * second left at its end, and an answer that takes longer than that was lost.
 */
const STORE_CALL_TIMEOUT_MS = 1_000;

/** Options of `createShiftRecorder`. */
export interface CreateShiftRecorderOptions {
  readonly self: NodeId;
  readonly store: KeyedStore;
  readonly topic: string;
  readonly platform: Pick<Platform, "encodeStatus" | "decodeStatus">;
  readonly log: Log;
  readonly now: () => MonotonicMs;
  readonly random: () => number;
  /** Returns the wall-clock time. */
  readonly wall: () => WallMs;
  readonly onEvent: (event: TrafficShiftEvent) => void;
}

type RecordEffect = Extract<TrafficShiftEffect, { type: "record" }>;

export interface ShiftRecorder {
  /**
   * Requests the lease, unless a request is open or the backoff has not ended.
   */
  lease(): void;
  record(effect: RecordEffect): void;
  close(): void;
}

/** Creates a recorder without a lease. */
export function createShiftRecorder(
  opts: CreateShiftRecorderOptions,
): ShiftRecorder {
  const closing = new AbortController();
  let isRequestingLease = false;
  let failures = 0;
  let nextRequestAt = -Infinity;
  let seq = FIRST_RECORD_SEQ;

  /** Aborts a call when the recorder is closed, or after the timeout. */
  async function callWithTimeout<T>(
    step: string,
    call: (signal: AbortSignal) => PromiseLike<T>,
  ): Promise<T> {
    const signals = [closing.signal];
    const deadline = createDeadline({
      limitMs: STORE_CALL_TIMEOUT_MS,
      step,
      signals,
    });
    try {
      return await call(deadline.signal);
    } finally {
      deadline.close();
    }
  }

  async function lease() {
    if (isRequestingLease || opts.now() < nextRequestAt) return;
    isRequestingLease = true;
    const acquired = await callWithTimeout(
      "acquire the lease",
      (signal) =>
        acquireLease({
          store: opts.store,
          topic: opts.topic,
          producer: PRODUCER,
          holder: opts.self,
          signal,
        }),
    );
    isRequestingLease = false;
    failures = acquired.isOk() ? 0 : failures + 1;
    if (acquired.isErr()) {
      nextRequestAt = opts.now() +
        backoffWithHalfJitter(LEASE_BACKOFF_MS, failures - 1, opts.random());
      const reason = formatError(acquired.error);
      opts.log.write(
        "move",
        LogLevel.Warn,
        "lease for traffic shifts not acquired",
        { reason },
      );
      return;
    }
    const { epoch, records } = acquired.value;
    seq = FIRST_RECORD_SEQ;
    opts.log.write("move", LogLevel.Info, "lease for traffic shifts acquired", {
      epoch,
    });
    opts.onEvent({ type: "leased", epoch });
    // An earlier leader may have recorded the end of a shift and then died
    // before it could announce it.
    for (const keyedRecord of records) {
      const status = opts.platform.decodeStatus(keyedRecord);
      if (status === undefined) continue;
      opts.onEvent({ type: "status-read", status, now: opts.now() });
    }
  }

  async function record({ epoch, status, elapsedMs }: RecordEffect) {
    const { service, target, phase } = status;
    const orderedAt = opts.wall() - elapsedMs;
    const requestedAt = opts.now();
    const appended = await callWithTimeout(
      "record a status",
      (signal) =>
        opts.store.append({
          topic: opts.topic,
          records: [
            opts.platform.encodeStatus(status),
            encodeOrderTime({ service, target, orderedAt }),
          ],
          condition: { type: "fenced", producer: PRODUCER, epoch, seq: seq++ },
          signal,
        }),
    );
    const fields = { service, target, phase, epoch };
    if (appended.isOk()) {
      opts.log.write(
        "move",
        LogLevel.Info,
        "traffic shift status recorded",
        fields,
      );
      const now = opts.now();
      const tookMs = now - requestedAt;
      opts.onEvent({ type: "recorded", status, tookMs, now });
      return;
    }
    const reason = formatError(appended.error);
    opts.log.write("move", LogLevel.Warn, "traffic shift status not recorded", {
      ...fields,
      reason,
    });
    // After any failure the sequence of this epoch's writes is unknown, and a
    // fenced write means that another node leads. Both require a new lease
    // first.
    opts.onEvent({ type: "leased", epoch: undefined });
    opts.onEvent({ type: "record-failed", status });
  }

  return {
    lease: () => void lease(),
    record: (effect) => void record(effect),
    close: () => closing.abort(),
  };
}
