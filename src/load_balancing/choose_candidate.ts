/**
 * Chooses the home node with the least expected cost for a call. A home node is
 * the node on an endpoint's VM, which alone opens connections to the endpoint.
 * @module
 */
import type { MonotonicMs, NodeId } from "../core/types.ts";
import {
  COLD_START_FACTOR,
  INITIAL_RUN_ESTIMATE_MS,
  isWaitWithinMargin,
} from "../queue/estimate.ts";
import { failureShareOf, networkTimeOf } from "./record_home.ts";
import {
  type Candidate,
  type HomeView,
  type LoadBalancingState,
  viewOf,
} from "./state.ts";

/**
 * Fraction by which a run takes longer when all slots of the endpoint are in
 * use.
 */
const MAX_CONTENTION_SHARE = 0.15;

/**
 * Cost of a failed attempt, in milliseconds: the call has to be sent to another
 * home node.
 */
const FAILURE_COST_MS = 150;

/**
 * Cost of leaving the failure domain, in milliseconds: the round trip and the
 * work of two more hops.
 */
const CROSS_DOMAIN_COST_MS = 4;

/**
 * Cost of each kilobyte sent between failure domains, in milliseconds of
 * latency. Calls with large bodies, such as photographs or archives, wait for a
 * slot in their own domain; a small call leaves as soon as it would have to
 * wait.
 */
const COST_MS_PER_KILOBYTE = 4;

/**
 * Size above which each further kilobyte of a call has an extra cost between
 * failure domains. One archive uses the bandwidth of some hundred small calls,
 * so it leaves its domain only when that could not serve it at all.
 */
const LARGE_CALL_BYTES = 16_384;
const EXTRA_COST_MS_PER_LARGE_KILOBYTE = 8;

/**
 * Fraction of the time left to the latency objective. An answer that is
 * expected to take longer puts the objective at risk, since run times vary by
 * about a factor of two.
 */
const SAFE_OBJECTIVE_SHARE = 0.5;

/**
 * `SAFE_COST_PER_MS` is the cost of each millisecond until the answer,
 * `RISKY_COST_PER_MS` the additional cost of each millisecond that puts the
 * latency objective at risk. An answer well within the objective is worth
 * nearly as much as a faster one.
 */
const RISKY_COST_PER_MS = 2;
const SAFE_COST_PER_MS = 0.25;

/** Run time assumed for a home that has not run the route, in milliseconds. */
const UNKNOWN_RUN_MS = 10;

/**
 * Age of a report from which its waiting calls are ignored, in milliseconds. By
 * then they have started or were refused.
 */
const STALE_REPORT_MS = 400;

/**
 * Wait assumed at a home whose cold endpoint allows no further start now, in
 * milliseconds: the mean time until one of the last second is a second old.
 */
const COLD_START_WAIT_MS = 500;

/** Age from which a report says nothing of the starts of the last second. */
const STALE_STARTS_MS = 1_000;

/** Options of `chooseCandidate`. */
export interface ChooseCandidateOptions {
  /** Route of the call. */
  readonly route: string;
  readonly candidates: readonly Candidate[];
  /** Homes that the call has been sent to. They are not chosen again. */
  readonly tried: ReadonlySet<NodeId>;
  readonly ownDomain: string;
  /** Expected size of request and answer together, in bytes. */
  readonly bytes: number;
  /** Time left to the end of the latency objective, in milliseconds. */
  readonly objectiveLeftMs: number;
  readonly now: MonotonicMs;
  /** Returns 0 to 1. Breaks ties between homes of nearly equal cost. */
  readonly random: () => number;
}

/**
 * The home with the least cost, and whether its queue is expected to be full.
 */
export interface Choice {
  readonly home: NodeId;
  /**
   * Whether the expected wait at the home puts the latency objective at risk.
   */
  readonly isFull: boolean;
}

/**
 * Returns the home with the least cost among those not tried yet, if any.
 *
 * Balances uneven load. A burst in one failure domain spills over to others
 * only where waiting in that domain puts the latency objective at risk. Slow
 * and cold endpoints get fewer calls because of their run times. Endpoints that
 * fail some of their calls get those that no other endpoint has a slot for.
 */
export function chooseCandidate(
  state: LoadBalancingState,
  opts: ChooseCandidateOptions,
): Choice | undefined {
  let best: Choice | undefined;
  let bestCost = Infinity;
  for (const candidate of opts.candidates) {
    if (opts.tried.has(candidate.home)) continue;
    const view = viewOf(state, candidate.home);
    const runMs = runMsOf(view, candidate, opts);
    const waitMs = waitMsOf(view, candidate, opts.now);
    const isEjected = opts.now < view.ejectedUntil;
    const contention = Math.min(
      1,
      outstandingOf(view, opts.now) / candidate.slots,
    );
    const tookMs = networkTimeOf(view, opts.now) + waitMs +
      runMs * (1 + MAX_CONTENTION_SHARE * contention);
    const cost = timeCost(tookMs, opts.objectiveLeftMs) + opts.random() +
      failureShareOf(state, candidate.home, opts.now) * FAILURE_COST_MS +
      (candidate.domain === opts.ownDomain ? 0 : crossDomainCost(opts.bytes)) +
      (isEjected ? 1e6 : 0);
    if (cost >= bestCost) continue;
    bestCost = cost;
    const isFull = !isWaitWithinMargin(waitMs, opts.objectiveLeftMs - runMs);
    best = { home: candidate.home, isFull };
  }
  return best;
}

function timeCost(tookMs: number, objectiveLeftMs: number): number {
  const riskyMs = tookMs - Math.max(0, objectiveLeftMs) * SAFE_OBJECTIVE_SHARE;
  return tookMs * SAFE_COST_PER_MS + Math.max(0, riskyMs) * RISKY_COST_PER_MS;
}

function crossDomainCost(bytes: number): number {
  const largeKilobytes = Math.max(0, bytes - LARGE_CALL_BYTES) / 1_024;
  return CROSS_DOMAIN_COST_MS + bytes / 1_024 * COST_MS_PER_KILOBYTE +
    largeKilobytes * EXTRA_COST_MS_PER_LARGE_KILOBYTE;
}

function runMsOf(
  view: HomeView,
  candidate: Candidate,
  opts: ChooseCandidateOptions,
): number {
  // A home that has not run the route is assumed to be fast, so that it gets
  // calls. With its mean over other routes it might never get one.
  const meanMs = view.routeMs.get(opts.route) ?? UNKNOWN_RUN_MS;
  return meanMs * slowdownOf(candidate, opts.now);
}

function slowdownOf(candidate: Candidate, now: MonotonicMs): number {
  return now < candidate.coldUntil ? COLD_START_FACTOR : 1;
}

/** Calls at a home: those that it reported, and those sent from here since. */
function outstandingOf(view: HomeView, now: MonotonicMs): number {
  const { report, inFlight, inFlightAtReport, reportedAt } = view;
  const sentSinceReport = inFlight - inFlightAtReport;
  const waiting = now - reportedAt < STALE_REPORT_MS ? report.waiting : 0;
  return Math.max(inFlight, report.running + waiting + sentSinceReport);
}

function waitMsOf(
  view: HomeView,
  candidate: Candidate,
  now: MonotonicMs,
): number {
  const { slots } = candidate;
  const excess = outstandingOf(view, now) - slots + 1;
  const meanMs = view.report.meanMs > 0
    ? view.report.meanMs
    : INITIAL_RUN_ESTIMATE_MS;
  const runMs = meanMs * slowdownOf(candidate, now);
  return Math.max(
    coldWaitMsOf(view, now),
    excess <= 0 ? 0 : excess * runMs / slots,
  );
}

/** Returns the wait for the limit on starts at a cold endpoint. */
function coldWaitMsOf(view: HomeView, now: MonotonicMs): number {
  const { startsLeft } = view.report;
  if (startsLeft === undefined) return 0;
  if (now - view.reportedAt >= STALE_STARTS_MS) return 0;
  const sentSinceReport = view.inFlight - view.inFlightAtReport;
  return sentSinceReport < startsLeft ? 0 : COLD_START_WAIT_MS;
}
