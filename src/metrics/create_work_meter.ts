/**
 * Measures what a node's main thread spends its time on.
 * @module
 */
import type { MonotonicMs } from "../core/types.ts";

/** Whether a message of a link was sent or received. */
export const MessageDirection = { Sent: "sent", Received: "received" } as const;
export type MessageDirection =
  typeof MessageDirection[keyof typeof MessageDirection];

/** Kinds of work other than the messages of links. */
export const Duty = {
  /** Requests of callers on this VM, until they first wait for I/O. */
  Callers: "callers",
  /** Messages of links that were queued, when they are handled. */
  Control: "control",
  /** Periodic checks of links, traffic shifts and lost nodes. */
  Timers: "timers",
  Pings: "endpoint_pings",
  Metrics: "metrics",
  GarbageCollection: "garbage_collection",
} as const;
export type Duty = typeof Duty[keyof typeof Duty];

/** What bytes between failure domains were sent for. */
export const TrafficCause = {
  /** First attempts of calls, with their bodies. */
  Calls: "calls",
  /** Further attempts, with their bodies. */
  Retries: "retries",
  /** Answers, refusals and other events of calls. */
  Answers: "answers",
  /** State of the fleet, and pings. */
  Fleet: "fleet",
  Configuration: "configuration",
  /** Shares and tokens of the quotas of client accounts. */
  Quotas: "quotas",
  Other: "other",
} as const;
export type TrafficCause = typeof TrafficCause[keyof typeof TrafficCause];

/** Work in progress. */
export interface BegunWork {
  readonly startedAt: MonotonicMs;
  /** Nested time of the enclosing work when this work began. */
  readonly outerNestedMs: number;
}

/** Totals since the process started. */
export interface WorkTotals {
  /** Milliseconds on the main thread by duty, without nested work. */
  readonly workMs: ReadonlyMap<string, number>;
  readonly messages: ReadonlyMap<string, MessageTotals>;
  readonly storeCalls: ReadonlyMap<string, number>;
  /** Bytes sent to other failure domains, without frames. */
  readonly otherDomainBytes: ReadonlyMap<TrafficCause, number>;
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
  /** Ends the work on one message of a link and counts the message. */
  endMessage(
    work: BegunWork,
    way: MessageDirection,
    type: string,
    bytes: number,
  ): void;
  /** Counts bytes that were sent to another failure domain. */
  countOtherDomainBytes(cause: TrafficCause, bytes: number): void;
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

/** Creates a meter with all totals at zero. */
export function createWorkMeter(opts: CreateWorkMeterOptions): WorkMeter {
  const { now } = opts;
  const workMs = new Map<string, number>();
  const messages = new Map<string, MessageTotals>();
  const storeCalls = new Map<string, number>();
  const otherDomainBytes = new Map<TrafficCause, number>();
  let lastSums: ReadonlyMap<string, number> = new Map();
  /** Time spent on work that began and ended within the current work. */
  let nestedMs = 0;

  function exclusiveMs({ startedAt, outerNestedMs }: BegunWork): number {
    const tookMs = now() - startedAt;
    const ms = tookMs - nestedMs;
    nestedMs = outerNestedMs + tookMs;
    return ms;
  }

  function addMs(duty: Duty, ms: number) {
    workMs.set(duty, (workMs.get(duty) ?? 0) + ms);
  }

  return {
    begin() {
      const work = { startedAt: now(), outerNestedMs: nestedMs };
      nestedMs = 0;
      return work;
    },
    end: (work, duty) => addMs(duty, exclusiveMs(work)),
    endMessage(work, way, type, bytes) {
      const key = `${way} ${type}`;
      let totals = messages.get(key);
      if (totals === undefined) {
        totals = { type, way, count: 0, bytes: 0, ms: 0 };
        messages.set(key, totals);
      }
      totals.count++;
      totals.bytes += bytes;
      totals.ms += exclusiveMs(work);
    },
    countOtherDomainBytes(cause, bytes) {
      otherDomainBytes.set(cause, (otherDomainBytes.get(cause) ?? 0) + bytes);
    },
    addMs,
    countStoreCall(call) {
      storeCalls.set(call, (storeCalls.get(call) ?? 0) + 1);
    },
    totals: () => ({ workMs, messages, storeCalls, otherDomainBytes }),
    summary() {
      const sums = new Map<string, number>(workMs);
      for (const [key, { count, ms }] of messages) {
        sums.set(`${key} ms`, ms);
        sums.set(key, count);
      }
      for (const [call, count] of storeCalls) sums.set(call, count);
      for (const [cause, sum] of otherDomainBytes) {
        sums.set(`other domains ${cause} bytes`, sum);
      }
      const fields: Record<string, number> = {};
      for (const [key, sum] of sums) {
        const increase = Math.round(sum - (lastSums.get(key) ?? 0));
        if (increase > 0) fields[key] = increase;
      }
      lastSums = sums;
      return fields;
    },
  };
}
