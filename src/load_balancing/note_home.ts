/**
 * Learns from reports and from how offers to a home end.
 * @module
 */
import type { MonotonicMs, NodeId } from "../core/types.ts";
import type { QueueReport } from "../queue/state.ts";
import { type HomeView, type PlacementState, viewOf } from "./state.ts";

/** Weight of the newest end of an offer. */
const newestWeight = 0.12;

/** Failures count half after this time, in milliseconds. */
const halfLifeMs = 2_000;

/** Weight of the newest time between here and a home. */
const newestTransitWeight = 0.25;

/** Such a time counts half after this time, in milliseconds. */
const transitHalfLifeMs = 1_000;

/** Options of `noteReport`. */
export interface NoteReportOptions {
  readonly home: NodeId;
  readonly report: QueueReport;
  /** Route that the report's run time is of. */
  readonly route?: string | undefined;
  readonly now: MonotonicMs;
}

/** Takes a home's report of its queue. */
export function noteReport(state: PlacementState, opts: NoteReportOptions) {
  const { report, route } = opts;
  const view = viewOf(state, opts.home);
  view.report = report;
  view.reportedAt = opts.now;
  view.inFlightAtReport = view.inFlight;
  if (route !== undefined && report.routeMs > 0) {
    view.routeMs.set(route, report.routeMs);
  }
}

/** Options of `noteTransit`. */
export interface NoteTransitOptions {
  readonly home: NodeId;
  /** Time of one call between this node and the home, in milliseconds. */
  readonly transitMs: number;
  readonly now: MonotonicMs;
}

/** Learns how long calls take to a home and back. */
export function noteTransit(state: PlacementState, opts: NoteTransitOptions) {
  const view = viewOf(state, opts.home);
  const known = transitOf(view, opts.now);
  view.transitMs = known + (opts.transitMs - known) * newestTransitWeight;
  view.transitAt = opts.now;
}

/** Expected time to a home and back. Fades, so that it is tried again. */
export function transitOf(view: HomeView, now: MonotonicMs): number {
  const halvings = (now - view.transitAt) / transitHalfLifeMs;
  return view.transitMs * 0.5 ** halvings;
}

/** Counts a call that is offered to a home. */
export function noteOffer(state: PlacementState, home: NodeId) {
  viewOf(state, home).inFlight++;
}

/** Counts the end of an offered call. */
export function noteEnd(
  state: PlacementState,
  home: NodeId,
  isFailed: boolean,
  now: MonotonicMs,
) {
  const view = viewOf(state, home);
  view.inFlight--;
  const failing = failingOf(state, home, now);
  view.failing = failing + ((isFailed ? 1 : 0) - failing) * newestWeight;
  view.failingAt = now;
}

/** Sends no offers to a home for a while. */
export function shunHome(
  state: PlacementState,
  home: NodeId,
  until: MonotonicMs,
) {
  viewOf(state, home).shunnedUntil = until;
}

/** Recent share of failures at a home. Fades, so that it is tried again. */
export function failingOf(
  state: PlacementState,
  home: NodeId,
  now: MonotonicMs,
): number {
  const view = viewOf(state, home);
  if (view.failing === 0) return 0;
  return view.failing * 0.5 ** ((now - view.failingAt) / halfLifeMs);
}
