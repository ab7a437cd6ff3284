/**
 * Load and failures of each home node (the node on an endpoint's VM), as
 * estimated by this node.
 * @module
 */
import type { MonotonicMs, NodeId } from "../core/types.ts";
import type { QueueReport } from "../queue/state.ts";

/** A ready endpoint, reached through its home node. */
export interface Candidate {
  readonly home: NodeId;
  readonly domain: string;
  readonly slots: number;
  /** Time until which the endpoint is expected to be slow after its start. */
  readonly coldUntil: MonotonicMs;
}

/** Load and reliability of one home, as seen from this node. */
export interface HomeView {
  /** Last report of the home's queue. */
  report: QueueReport;
  reportedAt: MonotonicMs;
  /** Mean run times at the home by route, in milliseconds, as last reported. */
  readonly routeMs: Map<string, number>;
  /**
   * Moving mean of the time from sending a call until its first event arrives,
   * without the time that the home node held the call, in milliseconds.
   * Includes links, and buffers of a home node that can't keep up.
   */
  networkMs: number;
  networkAt: MonotonicMs;
  /** Calls from this node that are at the home now. */
  inFlight: number;
  /** Calls from this node that were at the home when it last reported. */
  inFlightAtReport: number;
  /** Recent share of attempts that failed, 0 to 1, as of `failingAt`. */
  failing: number;
  failingAt: MonotonicMs;
  /** Time until which the home is chosen only if no other home is left. */
  ejectedUntil: MonotonicMs;
}

export interface LoadBalancingState {
  readonly views: Map<NodeId, HomeView>;
}

export function createLoadBalancingState(): LoadBalancingState {
  return { views: new Map() };
}

/** Returns the view of a home, created when missing. */
export function viewOf(state: LoadBalancingState, home: NodeId): HomeView {
  const known = state.views.get(home);
  if (known !== undefined) return known;
  const view: HomeView = {
    report: { running: 0, waiting: 0, meanMs: 0, routeMs: 0 },
    reportedAt: -Infinity,
    routeMs: new Map(),
    networkMs: 0,
    networkAt: -Infinity,
    inFlight: 0,
    inFlightAtReport: 0,
    failing: 0,
    failingAt: -Infinity,
    ejectedUntil: -Infinity,
  };
  state.views.set(home, view);
  return view;
}
