/**
 * Learns from reports and from how offers to a home end.
 * @module
 */
import type { MonotonicMs, NodeId } from "../core/types.ts";
import type { QueueReport } from "../queue/state.ts";
import { type HomeView, type LoadBalancingState, viewOf } from "./state.ts";

/** Weight of the newest end of an offer. */
const newestWeight = 0.12;

/** Failures count half after this time, in milliseconds. */
const halfLifeMs = 2_000;

/** Weight of the newest time between here and a home. */
const newestTransitWeight = 0.25;

/** Such a time counts half after this time, in milliseconds. */
const transitHalfLifeMs = 1_000;

/** Options of `recordReport`. */
export interface RecordReportOptions {
  readonly home: NodeId;
  readonly report: QueueReport;
  /** Route that the report's run time is of. */
  readonly route?: string | undefined;
  readonly now: MonotonicMs;
}

/** Takes a home's report of its queue. */
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
  /** Time of one call between this node and the home, in milliseconds. */
  readonly networkMs: number;
  readonly now: MonotonicMs;
}

/** Learns how long calls take to a home and back. */
export function recordNetworkTime(
  state: LoadBalancingState,
  opts: RecordNetworkTimeOptions,
) {
  const view = viewOf(state, opts.home);
  const known = networkTimeOf(view, opts.now);
  view.networkMs = known + (opts.networkMs - known) * newestTransitWeight;
  view.networkAt = opts.now;
}

/** Expected time to a home and back. Fades, so that it is tried again. */
export function networkTimeOf(view: HomeView, now: MonotonicMs): number {
  const halvings = (now - view.networkAt) / transitHalfLifeMs;
  return view.networkMs * 0.5 ** halvings;
}

/** Counts a call that is offered to a home. */
export function recordAttempt(state: LoadBalancingState, home: NodeId) {
  viewOf(state, home).inFlight++;
}

/** Counts the end of an offered call. */
export function recordAttemptEnd(
  state: LoadBalancingState,
  home: NodeId,
  isFailed: boolean,
  now: MonotonicMs,
) {
  const view = viewOf(state, home);
  view.inFlight--;
  const failing = failureShareOf(state, home, now);
  view.failing = failing + ((isFailed ? 1 : 0) - failing) * newestWeight;
  view.failingAt = now;
}

/** Sends no offers to a home for a while. */
export function ejectHome(
  state: LoadBalancingState,
  home: NodeId,
  until: MonotonicMs,
) {
  viewOf(state, home).ejectedUntil = until;
}

/** Recent share of failures at a home. Fades, so that it is tried again. */
export function failureShareOf(
  state: LoadBalancingState,
  home: NodeId,
  now: MonotonicMs,
): number {
  const view = viewOf(state, home);
  if (view.failing === 0) return 0;
  return view.failing * 0.5 ** ((now - view.failingAt) / halfLifeMs);
}
