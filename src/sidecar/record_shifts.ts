/**
 * Writes the statuses of moves to the store, under the lease.
 * @module
 */
import type { MonotonicMs, NodeId, WallMs } from "../core/types.ts";
import { createDeadline } from "../core/create_deadline.ts";
import { formatError } from "../core/errors.ts";
import { backoffWithHalfJitter } from "../core/backoff_with_half_jitter.ts";
import { type Log, LogLevel } from "../logs/create_log.ts";
import { acquireLease } from "../store/acquire_lease.ts";
import type { KeyedStore } from "../store/state.ts";
import { encodeOrderTime } from "../traffic_shift/order_time.ts";
import type {
  TrafficShiftEffect,
  TrafficShiftEvent,
} from "../traffic_shift/state.ts";
import type { Platform } from "./platform_port.ts";

/** Name under which the store fences writers of statuses. */
const producer = "moves";

/** Pauses after leases that were not granted, in milliseconds. */
const leasePauses = { firstMs: 100, longestMs: 2_000 };

/**
 * Time for one call to the store, in milliseconds. A move has a second at its
 * end, and an answer that is later than this has been lost.
 */
const callMs = 1_000;

/** Options of `createShiftRecorder`. */
export interface CreateShiftRecorderOptions {
  readonly self: NodeId;
  readonly store: KeyedStore;
  readonly topic: string;
  readonly platform: Pick<Platform, "encodeStatus" | "decodeStatus">;
  readonly log: Log;
  readonly now: () => MonotonicMs;
  readonly random: () => number;
  /** Time of day. */
  readonly wall: () => WallMs;
  readonly onEvent: (event: TrafficShiftEvent) => void;
}

type RecordEffect = Extract<TrafficShiftEffect, { type: "record" }>;

export interface ShiftRecorder {
  /** Asks for the lease, unless it was asked for a moment ago. */
  lease(): void;
  record(effect: RecordEffect): void;
  close(): void;
}

/** Creates a recorder without a lease. */
export function createShiftRecorder(
  opts: CreateShiftRecorderOptions,
): ShiftRecorder {
  const closing = new AbortController();
  let isAsking = false;
  let failures = 0;
  let askAgainAt = -Infinity;
  let seq = 0;

  /** Ends with the recorder, or when a call has taken too long. */
  async function limited<T>(
    step: string,
    call: (signal: AbortSignal) => PromiseLike<T>,
  ): Promise<T> {
    const signals = [closing.signal];
    const deadline = createDeadline({ limitMs: callMs, step, signals });
    try {
      return await call(deadline.signal);
    } finally {
      deadline.close();
    }
  }

  async function lease() {
    if (isAsking || opts.now() < askAgainAt) return;
    isAsking = true;
    const taken = await limited("take the lease", (signal) =>
      acquireLease({
        store: opts.store,
        topic: opts.topic,
        holder: opts.self,
        signal,
      }));
    isAsking = false;
    failures = taken.isOk() ? 0 : failures + 1;
    if (taken.isErr()) {
      askAgainAt = opts.now() +
        backoffWithHalfJitter(leasePauses, failures - 1, opts.random());
      const reason = formatError(taken.error);
      opts.log.write("move", LogLevel.Warn, "lease not granted", { reason });
      return;
    }
    const { epoch, records } = taken.value;
    seq = 0;
    opts.log.write("move", LogLevel.Info, "lease granted", { epoch });
    opts.onEvent({ type: "leased", epoch });
    // An earlier leader may have ended a move without living to tell.
    for (const one of records) {
      const status = opts.platform.decodeStatus(one);
      if (status === undefined) continue;
      opts.onEvent({ type: "status-read", status, now: opts.now() });
    }
  }

  async function record({ epoch, status, elapsedMs }: RecordEffect) {
    const { service, target, phase } = status;
    const orderedAt = opts.wall() - elapsedMs;
    const askedAt = opts.now();
    const appended = await limited(
      "record a status",
      (signal) =>
        opts.store.append({
          topic: opts.topic,
          records: [
            opts.platform.encodeStatus(status),
            encodeOrderTime({ service, target, orderedAt }),
          ],
          condition: { type: "fenced", producer, epoch, seq: seq++ },
          signal,
        }),
    );
    const fields = { service, target, phase, epoch };
    if (appended.isOk()) {
      opts.log.write("move", LogLevel.Info, "status recorded", fields);
      const now = opts.now();
      const tookMs = now - askedAt;
      opts.onEvent({ type: "recorded", status, tookMs, now });
      return;
    }
    const reason = formatError(appended.error);
    opts.log.write("move", LogLevel.Warn, "status not recorded", {
      ...fields,
      reason,
    });
    // Any failure leaves the order of this epoch's writes unknown, and a fence
    // means that another node leads. Either way a new lease comes first.
    opts.onEvent({ type: "leased", epoch: undefined });
    opts.onEvent({ type: "record-failed", status });
  }

  return {
    lease: () => void lease(),
    record: (effect) => void record(effect),
    close: () => closing.abort(),
  };
}
