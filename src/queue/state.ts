/**
 * Calls that run and wait at the endpoint of one node.
 * @module
 */
import type { MonotonicMs } from "../core/types.ts";

/** Names a call at this node. */
export type CallKey = number;

/** What the order of the queue depends on. */
export interface QueuedCall {
  readonly key: CallKey;
  readonly route: string;
  /** 0 is the most urgent. */
  readonly urgency: number;
  /** Made by a running call, which holds a slot until this one is answered. */
  readonly isNested: boolean;
  readonly offeredAt: MonotonicMs;
  /** End of the latency objective. */
  readonly objectiveAt: MonotonicMs;
  /** The caller waits no longer than this. */
  readonly deadlineAt: MonotonicMs;
}

export interface RunningCall extends QueuedCall {
  readonly startedAt: MonotonicMs;
  isOverdue: boolean;
}

/** Recent run times of a route's calls, in milliseconds. */
export interface RunTimes {
  mean: number;
  samples: number;
}

/** Whether the endpoint takes calls. */
export type Gate =
  | { readonly type: "open"; readonly slots: number }
  | { readonly type: "closed"; readonly reason: string };

export interface QueueState {
  gate: Gate;
  /** The endpoint is slow after its start until then. */
  coldUntil: MonotonicMs;
  readonly running: Map<CallKey, RunningCall>;
  readonly waiting: Map<CallKey, QueuedCall>;
  readonly timesOf: Map<string, RunTimes>;
  /** Over the calls of all routes. */
  readonly times: RunTimes;
}

export type QueueEvent =
  | {
    readonly type: "offered";
    readonly call: QueuedCall;
    /** The sender has no better home, so an answer past the aim is welcome. */
    readonly mayBeLate: boolean;
    readonly now: MonotonicMs;
  }
  /** A running call is over. Its time counts when it was answered. */
  | {
    readonly type: "ended";
    readonly key: CallKey;
    readonly isAnswered: boolean;
    readonly now: MonotonicMs;
  }
  /** The caller left. */
  | {
    readonly type: "withdrawn";
    readonly key: CallKey;
    readonly now: MonotonicMs;
  }
  | {
    readonly type: "gated";
    readonly gate: Gate;
    readonly coldUntil: MonotonicMs;
    readonly now: MonotonicMs;
  }
  | { readonly type: "ticked"; readonly now: MonotonicMs };

export const RefusalReason = {
  /** The endpoint takes no calls here. */
  Closed: "closed",
  /** It would be answered past its aim, and another home may do better. */
  Late: "late",
  /** Later calls took its place in a full queue. */
  Crowded: "crowded",
  /** It can't be answered before its deadline. */
  NoTime: "no-time",
  /** It was routed to another service or version than the endpoint runs. */
  Misdirected: "misdirected",
} as const;
export type RefusalReason = typeof RefusalReason[keyof typeof RefusalReason];

export type QueueEffect =
  | { readonly type: "start"; readonly key: CallKey }
  | {
    readonly type: "refuse";
    readonly key: CallKey;
    readonly reason: RefusalReason;
    /** Time until a slot is expected to be free, in milliseconds. */
    readonly waitMs: number;
  }
  /** Runs much longer than its route's calls usually do. */
  | { readonly type: "overdue"; readonly key: CallKey };

/** What other nodes are told of the queue. */
export interface QueueReport {
  readonly running: number;
  readonly waiting: number;
  /** Mean time of a run, in milliseconds. Tells how fast a queue moves. */
  readonly meanMs: number;
  /**
   * The same for calls of the route that the report goes with, or 0 when there
   * were none. The mean of all runs says little about them: an endpoint that is
   * sent only long calls is not a slow one.
   */
  readonly routeMs: number;
}

export function createQueueState(): QueueState {
  return {
    gate: { type: "closed", reason: "no endpoint has announced itself" },
    coldUntil: -Infinity,
    running: new Map(),
    waiting: new Map(),
    timesOf: new Map(),
    times: { mean: 0, samples: 0 },
  };
}
