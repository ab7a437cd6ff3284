/**
 * State, events and effects of the limit on starts at a cold endpoint. The home
 * node (the node on the endpoint's VM) keeps it, since it alone opens
 * connections to the endpoint.
 * @module
 */
import type { MonotonicMs } from "../core/types.ts";

/** Length of the sliding window of the limit, in milliseconds. */
export const WINDOW_MS = 1_000;

/** What this process takes to be true of the endpoint's cold start. */
export type ColdKnowledge =
  /** As the endpoint last stated. */
  | { readonly type: "stated"; readonly until: MonotonicMs }
  /**
   * Something happened after which the endpoint may be cold again, and it has
   * not stated since that it is warm.
   */
  | {
    readonly type: "unknown";
    readonly since: MonotonicMs;
    readonly hasRequestedHealth: boolean;
  };

export interface ColdStartState {
  /**
   * Starts per second that a cold endpoint tolerates. 0 if it needs no limit,
   * undefined until the first route table arrives.
   */
  limit: number | undefined;
  knowledge: ColdKnowledge;
  /** Starts within the last second, oldest first. Not recorded at limit 0. */
  readonly recentStarts: MonotonicMs[];
  /**
   * Before this time nothing starts at a cold endpoint, since the starts of the
   * last second are not known.
   */
  blockedUntil: MonotonicMs;
}

export type ColdStartEvent =
  /** The endpoint's service got new terms. */
  | {
    readonly type: "terms-changed";
    readonly perSecond: number | undefined;
    readonly now: MonotonicMs;
  }
  /** The endpoint stated how long it stays cold. */
  | {
    readonly type: "stated";
    readonly until: MonotonicMs;
    /** When the statement was requested. For a ping, when it arrived. */
    readonly requestedAt: MonotonicMs;
    readonly now: MonotonicMs;
  }
  /** The endpoint may have become cold. */
  | {
    readonly type: "invalidated";
    readonly reason: string;
    readonly now: MonotonicMs;
  }
  /** Calls may be sent to the endpoint from now on. */
  | { readonly type: "opened" }
  /** A call or a health request is sent to the endpoint. */
  | { readonly type: "started"; readonly now: MonotonicMs };

export type ColdStartEffect =
  /** Request the health path of the endpoint, which states how cold it is. */
  | { readonly type: "request-health" }
  /** Starts are limited from now on. */
  | {
    readonly type: "limit-began";
    readonly reason: string;
    /** Undefined until the endpoint states how long it stays cold. */
    readonly coldMs: number | undefined;
  }
  /** The endpoint stated that it is warm. */
  | { readonly type: "limit-ended" };

/**
 * Creates the state of a process that starts at `now`. The process that ran
 * before it may have used up the limit of the last second.
 */
export function createColdStartState(now: MonotonicMs): ColdStartState {
  return {
    limit: undefined,
    knowledge: { type: "stated", until: -Infinity },
    recentStarts: [],
    blockedUntil: now + WINDOW_MS,
  };
}
