/**
 * State, events and effects of the queue in front of one endpoint. The queue is
 * kept by the home node: the node on the endpoint's VM, which alone opens
 * connections to the endpoint.
 * @module
 */
import {
  type ColdStartState,
  createColdStartState,
} from "../cold_start/state.ts";
import type { MonotonicMs } from "../core/types.ts";
import {
  createFairSharingState,
  type FairSharingState,
} from "../fair_sharing/state.ts";
import { createSheddingState, type SheddingState } from "../shedding/state.ts";
import { createPace, type Pace } from "./pace.ts";

/** Identifies a call within this node. */
export type CallKey = number;

/** Properties of a call by which the queue orders and refuses it. */
export interface QueuedCall {
  readonly key: CallKey;
  readonly route: string;
  /** 0 is the most urgent. */
  readonly urgency: number;
  /**
   * Whether this call was made by a running call, which holds its slot until
   * this call is answered.
   */
  readonly isNested: boolean;
  /** When the call arrived at this node. */
  readonly arrivedAt: MonotonicMs;
  /** End of the latency objective. */
  readonly objectiveAt: MonotonicMs;
  /** When the caller stops waiting. */
  readonly deadlineAt: MonotonicMs;
  /**
   * When the sender or this node ends, so that a later answer would be lost.
   * Undefined while neither is shutting down.
   */
  readonly answerBy?: MonotonicMs | undefined;
  /** Client account of the call. Undefined if it has none. */
  readonly account?: string | undefined;
  /**
   * Urgency of the account, compared before `urgency`; 0 is the most urgent.
   */
  readonly accountUrgency?: number | undefined;
  /**
   * Fraction of its time that the call may wait once it misses its latency
   * objective (see `lateWaitShare`). Undefined for the least.
   */
  readonly lateShare?: number | undefined;
  /**
   * How long the parent of a nested call has run, in milliseconds. It has run
   * in vain if the nested call is refused.
   */
  readonly parentUsedMs?: number | undefined;
}

/** A call that the endpoint runs. */
export interface RunningCall extends QueuedCall {
  readonly startedAt: MonotonicMs;
  /** Start of the run on the clock of `usualTimeAt`. */
  readonly startedUsualMs: number;
  /** Whether the overdue effect has been returned for this call. */
  isOverdue: boolean;
}

/** Moving mean of usual run times on a warm endpoint, in milliseconds. */
export interface RunTimes {
  mean: number;
  samples: number;
}

/** Whether the endpoint accepts calls, and how many it runs concurrently. */
export type Gate =
  | { readonly type: "open"; readonly slots: number }
  | { readonly type: "closed"; readonly reason: string };

export interface QueueState {
  gate: Gate;
  /** Time until which the endpoint is expected to be slow after its start. */
  coldUntil: MonotonicMs;
  readonly pace: Pace;
  readonly running: Map<CallKey, RunningCall>;
  readonly waiting: Map<CallKey, QueuedCall>;
  /** Run times by route name. */
  readonly timesByRoute: Map<string, RunTimes>;
  /** Run times of the calls of all routes. */
  readonly times: RunTimes;
  /** Limit on starts while the endpoint is cold. */
  readonly coldStart: ColdStartState;
  readonly shedding: SheddingState;
  readonly fairSharing: FairSharingState;
  /** Time of the newest event. */
  at: MonotonicMs;
}

export type QueueEvent =
  /** A call arrived at this node. */
  | {
    readonly type: "arrived";
    readonly call: QueuedCall;
    /**
     * Whether the sender accepts an answer past the latency objective, since no
     * other home node is expected to be faster.
     */
    readonly mayBeLate: boolean;
    readonly now: MonotonicMs;
  }
  /** A running call ended. Its run time is recorded only if it was answered. */
  | {
    readonly type: "ended";
    readonly key: CallKey;
    readonly isAnswered: boolean;
    readonly now: MonotonicMs;
  }
  /** The caller no longer waits for a call. */
  | {
    readonly type: "withdrawn";
    readonly key: CallKey;
    readonly now: MonotonicMs;
  }
  /** The sender of a call, or this node, ends at `answerBy`. */
  | {
    readonly type: "answer-limited";
    readonly key: CallKey;
    readonly answerBy: MonotonicMs;
    readonly now: MonotonicMs;
  }
  /** The endpoint started or stopped accepting calls, or its slots changed. */
  | {
    readonly type: "gate-changed";
    readonly gate: Gate;
    readonly coldUntil: MonotonicMs;
    readonly now: MonotonicMs;
  }
  /** The endpoint stated how long it stays cold, or `coldStart` changed. */
  | {
    readonly type: "cold-changed";
    readonly coldUntil: MonotonicMs;
    readonly now: MonotonicMs;
  }
  /** The endpoint stated the pace of its VM: 1, or 2 if runs take twice as long. */
  | {
    readonly type: "paced";
    readonly factor: number;
    readonly now: MonotonicMs;
  }
  | { readonly type: "ticked"; readonly now: MonotonicMs };

export const RefusalReason = {
  /** The endpoint accepts no calls on this node. */
  Closed: "closed",
  /**
   * The answer would miss the latency objective, and another home node may be
   * faster.
   */
  Late: "late",
  /** Too many calls wait in this queue. */
  QueueFull: "crowded",
  /** The call was waiting, and gave way to a more urgent one. */
  Displaced: "displaced",
  /** The call can't be answered before its deadline, or before a node ends. */
  NoTime: "no-time",
  /** The call is for another service or version than the endpoint runs. */
  Misdirected: "misdirected",
  /** The request crashed the endpoints that ran it. */
  Quarantined: "quarantined",
  /** The API key of the call was revoked after its sender had checked it. */
  Revoked: "revoked",
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
    /** Whether the call's account used more than its fair share. */
    readonly isOverShare: boolean;
  }
  /** The call has run much longer than calls of its route usually do. */
  | { readonly type: "overdue"; readonly key: CallKey }
  /** A call waits though a slot is free, since the endpoint is cold. */
  | { readonly type: "delayed"; readonly key: CallKey };

/** Load of the queue, as sent to other nodes. */
export interface QueueReport {
  readonly running: number;
  /**
   * Calls that wait, without the late ones of callers who wait long: they start
   * only when no other call waits.
   */
  readonly waiting: number;
  /**
   * Mean run time over all routes, in milliseconds. Determines how fast the
   * queue drains.
   */
  readonly meanMs: number;
  /**
   * Mean run time of the route that the report accompanies, in milliseconds, or
   * 0 when none has run. The mean over all routes can't replace it: an endpoint
   * that runs only long calls is not a slow endpoint.
   */
  readonly routeMs: number;
  /**
   * How long runs take on the endpoint's VM now, in percent of their usual time
   * there.
   * `meanMs` and `routeMs` are usual times. Undefined if it is the usual, or not
   * known.
   */
  readonly pacePercent?: number | undefined;
  /**
   * Calls that may start now, besides those that wait. Undefined while no limit
   * on starts applies (see `src/cold_start`).
   */
  readonly startsLeft?: number | undefined;
}

export function createQueueState(
  coldStart: ColdStartState = createColdStartState(-Infinity),
): QueueState {
  return {
    gate: { type: "closed", reason: "no endpoint has announced itself" },
    coldUntil: -Infinity,
    pace: createPace(),
    running: new Map(),
    waiting: new Map(),
    timesByRoute: new Map(),
    times: { mean: 0, samples: 0 },
    coldStart,
    shedding: createSheddingState(),
    fairSharing: createFairSharingState(),
    at: -Infinity,
  };
}
