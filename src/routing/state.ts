/**
 * What a node has measured about the home nodes that it sends calls to. A home
 * node is the node on an endpoint's VM, the only one that connects to it.
 * @module
 */
import type { MonotonicMs, NodeId } from "../core/types.ts";
import type { CallEnd } from "../retry/messages.ts";

/** Measured results of one service version at one home node. */
export interface HomeStats {
  /** Calls that this node has in flight at the home node. */
  inFlight: number;
  /** Load reported on the last answer, in calls per slot. */
  load: number;
  /** When `load` was reported. */
  loadAt: MonotonicMs;
  /** Moving share of the calls that failed or were overdue, 0 to 1. */
  failing: number;
  /** Results since the last reinstatement, counted up to `MIN_RESULTS`. */
  results: number;
  ejectedUntil: MonotonicMs;
  /** Ejections since the last successful probe. */
  ejections: number;
  usedAt: MonotonicMs;
}

/** Recent run times of one route's calls, in milliseconds. */
export interface RecentTimes {
  readonly ring: Float32Array;
  count: number;
  /** A call that takes longer than this is overdue. */
  overdueMs: number;
}

export interface RoutingState {
  /** Statistics of home nodes by service version, `service@version`. */
  readonly services: Map<string, Map<NodeId, HomeStats>>;
  /** Recent run times by `service@version route`. */
  readonly times: Map<string, RecentTimes>;
}

export type RoutingEvent =
  /** An attempt was sent to a home node. */
  | {
    readonly type: "dispatched";
    readonly key: string;
    readonly home: NodeId;
    readonly now: MonotonicMs;
  }
  /** An attempt takes much longer than its route's recent calls. */
  | {
    readonly type: "overdue";
    readonly key: string;
    readonly home: NodeId;
    readonly now: MonotonicMs;
  }
  /** An attempt ended. */
  | {
    readonly type: "ended";
    readonly key: string;
    readonly home: NodeId;
    readonly route: string;
    readonly end: CallEnd;
    readonly tookMs: number;
    readonly wasOverdue: boolean;
    readonly now: MonotonicMs;
  }
  /** Drops the statistics of home nodes without recent calls. */
  | { readonly type: "swept"; readonly now: MonotonicMs };

export type RoutingEffect =
  /**
   * The home node gets no calls until `until` while others are usable, then one
   * probe call at a time.
   */
  | {
    readonly type: "ejected";
    readonly home: NodeId;
    readonly until: MonotonicMs;
  }
  /** The home node got no call for 60 s: connections to it may be closed. */
  | { readonly type: "idle"; readonly home: NodeId };

export function createRoutingState(): RoutingState {
  return { services: new Map(), times: new Map() };
}
