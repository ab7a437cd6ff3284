/**
 * Records reports of home nodes (the nodes on the VMs of endpoints) and the
 * outcomes of attempts at them.
 * @module
 */
import type { MonotonicMs, NodeId } from "../core/types.ts";
import type { QueueReport } from "../queue/state.ts";
import { type HomeView, type LoadBalancingState, viewOf } from "./state.ts";

/** Weight of the newest attempt in a home's share of failures. */
const NEWEST_FAILURE_WEIGHT = 0.12;

/** Time after which the share of failures is halved, in milliseconds. */
const FAILURE_HALF_LIFE_MS = 2_000;

/** Weight of the newest measurement in the network time to a home. */
const NEWEST_NETWORK_TIME_WEIGHT = 0.25;

/** Time after which an estimated network time is halved, in milliseconds. */
const NETWORK_TIME_HALF_LIFE_MS = 1_000;

/** Options of `recordReport`. */
export interface RecordReportOptions {
  readonly home: NodeId;
  readonly report: QueueReport;
  /** Route to which `routeMs` of the report applies. */
  readonly route?: string | undefined;
  readonly now: MonotonicMs;
}

/** Records a home's report of its queue. */
export function recordReport(
  state: LoadBalancingState,
  opts: RecordReportOptions,
) {
  const { report, route } = opts;
  const view = viewOf(state, opts.home);
  view.report = report;
  view.reportedAt = opts.now;
  view.inFlightAtReport = view.inFlight;
  if (route !== undefined && report.routeMs > 0) {
    view.routeMs.set(route, report.routeMs);
  }
}

/** Options of `recordNetworkTime`. */
export interface RecordNetworkTimeOptions {
  readonly home: NodeId;
  /** Round-trip network time of one call, without its time at the home. */
  readonly networkMs: number;
  readonly now: MonotonicMs;
}

/** Adds the network time of one call to a home's moving mean. */
export function recordNetworkTime(
  state: LoadBalancingState,
  opts: RecordNetworkTimeOptions,
) {
  const view = viewOf(state, opts.home);
  const known = networkTimeOf(view, opts.now);
  view.networkMs = known +
    (opts.networkMs - known) * NEWEST_NETWORK_TIME_WEIGHT;
  view.networkAt = opts.now;
}

/**
 * Returns the expected network time to a home and back, in milliseconds. Decays
 * over time, so that a slow home is tried again.
 */
export function networkTimeOf(view: HomeView, now: MonotonicMs): number {
  const halvings = (now - view.networkAt) / NETWORK_TIME_HALF_LIFE_MS;
  return view.networkMs * 0.5 ** halvings;
}

/** Counts an attempt sent to a home. */
export function recordAttempt(state: LoadBalancingState, home: NodeId) {
  viewOf(state, home).inFlight++;
}

/** Counts the end of an attempt. */
export function recordAttemptEnd(
  state: LoadBalancingState,
  home: NodeId,
  isFailed: boolean,
  now: MonotonicMs,
) {
  const view = viewOf(state, home);
  view.inFlight--;
  const failing = failureShareOf(state, home, now);
  view.failing = failing +
    ((isFailed ? 1 : 0) - failing) * NEWEST_FAILURE_WEIGHT;
  view.failingAt = now;
}

/**
 * Ejects a home: until the given time it is chosen only if no other is left.
 */
export function ejectHome(
  state: LoadBalancingState,
  home: NodeId,
  until: MonotonicMs,
) {
  viewOf(state, home).ejectedUntil = until;
}

/**
 * Returns the recent share of failed attempts at a home, 0 to 1. Decays over
 * time, so that the home is tried again.
 */
export function failureShareOf(
  state: LoadBalancingState,
  home: NodeId,
  now: MonotonicMs,
): number {
  const view = viewOf(state, home);
  if (view.failing === 0) return 0;
  return view.failing * 0.5 ** ((now - view.failingAt) / FAILURE_HALF_LIFE_MS);
}

/** Forgets a home that this node has no link to, once no attempt is open. */
export function forgetHome(state: LoadBalancingState, home: NodeId) {
  if (state.views.get(home)?.inFlight === 0) state.views.delete(home);
}
