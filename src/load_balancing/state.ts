/**
 * What this node believes of each home's queue.
 * @module
 */
import type { MonotonicMs, NodeId } from "../core/types.ts";
import type { QueueReport } from "../queue/state.ts";

/** A ready endpoint, reached through its home. */
export interface Candidate {
  readonly home: NodeId;
  readonly domain: string;
  readonly slots: number;
  /** The endpoint is slow after its start until then. */
  readonly coldUntil: MonotonicMs;
}

/** Load and reliability of one home, as seen from here. */
export interface HomeView {
  report: QueueReport;
  reportedAt: MonotonicMs;
  /** Mean run times there by route, in milliseconds, as last reported. */
  readonly routeMs: Map<string, number>;
  /**
   * Recent time that a call spent outside of the home's queue: on links, and
   * unread where its node can't keep up. In milliseconds.
   */
  networkMs: number;
  networkAt: MonotonicMs;
  /** Calls from here at that home now, and when it last reported. */
  inFlight: number;
  inFlightAtReport: number;
  /** Recent share of offers that failed, 0 to 1. */
  failing: number;
  failingAt: MonotonicMs;
  /** No offers until then. */
  ejectedUntil: MonotonicMs;
}

export interface LoadBalancingState {
  readonly views: Map<NodeId, HomeView>;
}

export function createLoadBalancingState(): LoadBalancingState {
  return { views: new Map() };
}

/** View of a home, created when missing. */
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
