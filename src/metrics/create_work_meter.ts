/**
 * Measures what a node's work is spent on.
 * @module
 */
import type { MonotonicMs } from "../core/types.ts";

/** Which way a message of a link went. */
export const MessageDirection = { Sent: "sent", Received: "received" } as const;
export type MessageDirection =
  typeof MessageDirection[keyof typeof MessageDirection];

/** Work that is no message of a link. */
export const Duty = {
  /** Requests that begin on this VM, until they wait for something. */
  Callers: "callers",
  /** Messages of links that waited their turn. */
  Control: "control",
  /** Looks at links, moves and lost nodes. */
  Timers: "timers",
  Pings: "endpoint_pings",
  Metrics: "metrics",
  GarbageCollection: "garbage_collection",
} as const;
export type Duty = typeof Duty[keyof typeof Duty];

/** Work that has begun. */
export interface BegunWork {
  readonly startedAt: MonotonicMs;
  readonly outerMs: number;
}

/** Totals since the start. */
export interface WorkTotals {
  /** Milliseconds on the main thread by duty, nested work left out. */
  readonly workMs: ReadonlyMap<string, number>;
  readonly messages: ReadonlyMap<string, MessageTotals>;
  readonly storeCalls: ReadonlyMap<string, number>;
}

export interface MessageTotals {
  readonly type: string;
  readonly way: MessageDirection;
  count: number;
  bytes: number;
  ms: number;
}

export interface WorkMeter {
  begin(): BegunWork;
  end(work: BegunWork, duty: Duty): void;
  /** Ends the work on one message of a link. */
  endMessage(
    work: BegunWork,
    way: MessageDirection,
    type: string,
    bytes: number,
  ): void;
  addMs(duty: Duty, ms: number): void;
  countStoreCall(call: string): void;
  totals(): WorkTotals;
  /** Work since the last call, as fields of one log line. */
  summary(): Record<string, number>;
}

/** Options of `createWorkMeter`. */
export interface CreateWorkMeterOptions {
  readonly now: () => MonotonicMs;
}

/** Creates a meter that has counted nothing. */
export function createWorkMeter(opts: CreateWorkMeterOptions): WorkMeter {
  const { now } = opts;
  const workMs = new Map<string, number>();
  const messages = new Map<string, MessageTotals>();
  const storeCalls = new Map<string, number>();
  let told: ReadonlyMap<string, number> = new Map();
  /** Time spent on work that began within the present work. */
  let nestedMs = 0;

  function ownMs({ startedAt, outerMs }: BegunWork): number {
    const tookMs = now() - startedAt;
    const ms = tookMs - nestedMs;
    nestedMs = outerMs + tookMs;
    return ms;
  }

  function addMs(duty: Duty, ms: number) {
    workMs.set(duty, (workMs.get(duty) ?? 0) + ms);
  }

  return {
    begin() {
      const work = { startedAt: now(), outerMs: nestedMs };
      nestedMs = 0;
      return work;
    },
    end: (work, duty) => addMs(duty, ownMs(work)),
    endMessage(work, way, type, bytes) {
      const key = `${way} ${type}`;
      let totals = messages.get(key);
      if (totals === undefined) {
        totals = { type, way, count: 0, bytes: 0, ms: 0 };
        messages.set(key, totals);
      }
      totals.count++;
      totals.bytes += bytes;
      totals.ms += ownMs(work);
    },
    addMs,
    countStoreCall(call) {
      storeCalls.set(call, (storeCalls.get(call) ?? 0) + 1);
    },
    totals: () => ({ workMs, messages, storeCalls }),
    summary() {
      const sums = new Map<string, number>(workMs);
      for (const [key, { count, ms }] of messages) {
        sums.set(`${key} ms`, ms);
        sums.set(key, count);
      }
      for (const [call, count] of storeCalls) sums.set(call, count);
      const fields: Record<string, number> = {};
      for (const [key, sum] of sums) {
        const rise = Math.round(sum - (told.get(key) ?? 0));
        if (rise > 0) fields[key] = rise;
      }
      told = sums;
      return fields;
    },
  };
}
