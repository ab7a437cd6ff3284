/**
 * What a node has measured of the homes that it sends calls to.
 * @module
 */
import type { MonotonicMs, NodeId } from "../core/types.ts";
import type { CallEnd } from "../retry/messages.ts";

/** Measured results of one service version at one home. */
export interface HomeStats {
  /** Calls from this node that run there now. */
  inFlight: number;
  /** Load of its last answer, calls by slots. */
  load: number;
  loadAt: MonotonicMs;
  /** Moving share of calls that failed or were overdue, 0 to 1. */
  failing: number;
  /** Results since the last return, up to `enoughResults`. */
  results: number;
  ejectedUntil: MonotonicMs;
  /** Ejections since it last did well. */
  ejections: number;
  usedAt: MonotonicMs;
}

/** Recent times of one route's calls, in milliseconds. */
export interface RecentTimes {
  readonly ring: Float32Array;
  count: number;
  /** A call that takes longer than this is overdue. */
  overdueMs: number;
}

export interface RoutingState {
  /** Homes by service version, `service@version`. */
  readonly services: Map<string, Map<NodeId, HomeStats>>;
  /** Times by `service@version route`. */
  readonly times: Map<string, RecentTimes>;
}

export type RoutingEvent =
  | {
    readonly type: "dispatched";
    readonly key: string;
    readonly home: NodeId;
    readonly now: MonotonicMs;
  }
  | {
    readonly type: "overdue";
    readonly key: string;
    readonly home: NodeId;
    readonly now: MonotonicMs;
  }
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
  /** Drops what is known of homes that got no call for long. */
  | { readonly type: "swept"; readonly now: MonotonicMs };

export type RoutingEffect =
  /** The home gets only single probes until `until`. */
  | {
    readonly type: "ejected";
    readonly home: NodeId;
    readonly until: MonotonicMs;
  }
  /** Nothing has been sent to it for long: its connections may close. */
  | { readonly type: "idle"; readonly home: NodeId };

export function createRoutingState(): RoutingState {
  return { services: new Map(), times: new Map() };
}
