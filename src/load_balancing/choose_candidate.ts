/**
 * Chooses the home node with the least expected cost for a call. A home node is
 * the node on an endpoint's VM, which alone opens connections to the endpoint.
 * @module
 */
import { isLongDeadline, longDeadlineShare } from "../calls/deadline_share.ts";
import type { MonotonicMs, NodeId } from "../core/types.ts";
import {
  COLD_START_FACTOR,
  INITIAL_RUN_ESTIMATE_MS,
  isWaitWithinMargin,
} from "../queue/estimate.ts";
import { decayPace } from "../queue/pace.ts";
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

/**
 * Costs of a call whose caller waits long past the objective, as multiples of
 * the cost of a late answer. A late answer there costs half the value of the
 * call; one that is lost costs the other half too, and a further attempt.
 */
const LOSS_COST = 1.5;

/**
 * Cost of the time to an answer that takes as long as the objective. It spreads
 * calls over endpoints by expected time. It is below `MIN_CROSSING_COST`, so
 * that no call leaves its domain for an answer that is early in both.
 */
const LONG_TIME_COST = 0.15;

/**
 * Costs of leaving the failure domain. A small call leaves once the risk to be
 * late is a fifth, a call of 30 KB and more only rather than be lost. With
 * higher costs, queues in the domain grow until the calls behind are late too.
 */
const MIN_CROSSING_COST = 0.1;
const CROSSING_COST_PER_KILOBYTE = 0.03;
const MAX_CROSSING_COST = 2;

/**
 * Maximum fraction of a call's slack that it may wait in another domain after
 * its own domain refused it. With the whole margin of `isWaitWithinMargin`,
 * calls cross during an overload of all domains to find the same wait there.
 */
const MAX_FAR_WAIT_SHARE = 0.25;

/**
 * Bounds of the expected time, as multiples of the time left, between which the
 * risk to miss an objective or a deadline rises from 0 to 1. An expected time
 * equal to the time left misses it half the time.
 */
const RISK_BOUNDS = { safe: 0.6, missed: 1.4 };

/**
 * Random part of the cost, against callers with the same view that all choose
 * the same endpoint until its next report. It is worth 5% of the objective,
 * about two calls in the queue of an endpoint.
 */
const LONG_RANDOM_COST = 0.05 * LONG_TIME_COST;

/**
 * Time for which the waiting calls of a report count, as a multiple of the
 * objective. Queues of calls that may wait long change slowly, and reports from
 * other domains are seconds old: taken for empty, those domains would draw calls
 * during an overload of all.
 */
const STALE_REPORT_OBJECTIVES = 4;

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
  /** Latency objective of the route, in milliseconds. */
  readonly objectiveMs: number;
  /** Time left to the deadline, in milliseconds. */
  readonly deadlineLeftMs: number;
  /** See `OfferedCall.deadlineRatio`. */
  readonly deadlineRatio: number | undefined;
  /** Whether homes without a slot in time are passed over. */
  readonly onlyFree?: boolean | undefined;
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
  /**
   * Whether a late answer of this home is accepted: its caller waits long, and
   * the other homes cost more than the delay.
   */
  readonly mayBeLate: boolean;
}

/**
 * Returns the home with the least cost among those not tried yet, if any.
 *
 * Balances uneven load. A burst in one failure domain spills over to others
 * only where waiting in that domain puts the latency objective at risk. Slow
 * and cold endpoints get fewer calls because of their run times. Endpoints that
 * fail some of their calls get those that no other endpoint has a slot for.
 *
 * Where callers wait long past the objective, a late answer keeps much of its
 * value. Such a call leaves its failure domain only if it is likely to be late
 * there, or lost, and not elsewhere. The longer the deadline, the more of the
 * cost follows that rule.
 */
export function chooseCandidate(
  state: LoadBalancingState,
  opts: ChooseCandidateOptions,
): Choice | undefined {
  let best: Candidate | undefined;
  let bestCost = Infinity;
  let isFull = false;
  const longShare = longDeadlineShare(opts.deadlineRatio);
  const staleMs = staleReportMs(longShare, opts.objectiveMs);
  for (const candidate of opts.candidates) {
    if (opts.tried.has(candidate.home)) continue;
    const view = viewOf(state, candidate.home);
    const slowdown = slowdownOf(view, candidate, opts.now);
    const runMs = runMsOf(view, opts.route) * slowdown;
    const outstanding = outstandingOf(view, opts.now, staleMs);
    const waitMs = waitMsOf(view, candidate, outstanding, slowdown, opts.now);
    const spareMs = opts.objectiveLeftMs - runMs;
    const isWaiting = !isWaitWithinMargin(waitMs, spareMs);
    const isFar = candidate.domain !== opts.ownDomain;
    const mayTake = opts.onlyFree !== true ||
      (isFar ? isFarHomeFree(waitMs, spareMs) : !isWaiting);
    if (!mayTake) continue;
    const isEjected = opts.now < view.ejectedUntil;
    const contention = Math.min(1, outstanding / candidate.slots);
    const tookMs = networkTimeOf(view, opts.now) + waitMs +
      runMs * (1 + MAX_CONTENTION_SHARE * contention);
    const cost = placementCost(tookMs, isFar, longShare, opts) +
      failureShareOf(state, candidate.home, opts.now) * FAILURE_COST_MS +
      (isEjected ? 1e6 : 0);
    if (cost >= bestCost) continue;
    bestCost = cost;
    best = candidate;
    isFull = isWaiting;
  }
  if (best === undefined) return undefined;
  const mayBeLate = isFull && isLongDeadline(opts.deadlineRatio);
  return { home: best.home, isFull, mayBeLate };
}

/** Cost of an answer after `tookMs`, and of leaving the failure domain. */
function placementCost(
  tookMs: number,
  isFar: boolean,
  longShare: number,
  opts: ChooseCandidateOptions,
): number {
  const random = opts.random();
  const shortCost = longShare === 1 ? 0 : random +
    timeCost(tookMs, opts.objectiveLeftMs) +
    (isFar ? crossDomainCost(opts.bytes) : 0);
  if (longShare === 0) return shortCost;
  const longCost = missRisk(tookMs, opts.objectiveLeftMs) +
    missRisk(tookMs, opts.deadlineLeftMs) * LOSS_COST +
    tookMs / opts.objectiveMs * LONG_TIME_COST + random * LONG_RANDOM_COST +
    (isFar && opts.onlyFree !== true ? longCrossingCost(opts.bytes) : 0);
  // A late answer costs the short rule about a millisecond for each
  // millisecond of the objective.
  return shortCost * (1 - longShare) + longCost * opts.objectiveMs * longShare;
}

/** Risk, 0 to 1, that an answer expected after `tookMs` takes over `leftMs`. */
function missRisk(tookMs: number, leftMs: number): number {
  if (leftMs <= 0) return 1;
  const risk = (tookMs / leftMs - RISK_BOUNDS.safe) /
    (RISK_BOUNDS.missed - RISK_BOUNDS.safe);
  return Math.min(1, Math.max(0, risk));
}

function longCrossingCost(bytes: number): number {
  const cost = MIN_CROSSING_COST + bytes / 1_024 * CROSSING_COST_PER_KILOBYTE;
  return Math.min(MAX_CROSSING_COST, cost);
}

/** Whether a home of another domain is free enough for a refused call. */
function isFarHomeFree(waitMs: number, spareMs: number): boolean {
  return waitMs <= Math.max(0, spareMs) * MAX_FAR_WAIT_SHARE;
}

function staleReportMs(longShare: number, objectiveMs: number): number {
  const longMs = objectiveMs * STALE_REPORT_OBJECTIVES;
  return STALE_REPORT_MS + Math.max(0, longMs - STALE_REPORT_MS) * longShare;
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

function runMsOf(view: HomeView, route: string): number {
  // A home that has not run the route is assumed to be fast, so that it gets
  // calls. With its mean over other routes it might never get one.
  return view.routeMs.get(route) ?? UNKNOWN_RUN_MS;
}

/** Slowdown by a cold start and by the pace that the home last reported. */
function slowdownOf(
  view: HomeView,
  candidate: Candidate,
  now: MonotonicMs,
): number {
  const coldFactor = now < candidate.coldUntil ? COLD_START_FACTOR : 1;
  const { pacePercent } = view.report;
  return pacePercent === undefined
    ? coldFactor
    : coldFactor * decayPace(pacePercent / 100, now - view.reportedAt);
}

/** Calls at a home: those that it reported, and those sent from here since. */
function outstandingOf(
  view: HomeView,
  now: MonotonicMs,
  staleMs: number,
): number {
  const { report, inFlight, inFlightAtReport, reportedAt } = view;
  const sentSinceReport = inFlight - inFlightAtReport;
  const waiting = now - reportedAt < staleMs ? report.waiting : 0;
  return Math.max(inFlight, report.running + waiting + sentSinceReport);
}

function waitMsOf(
  view: HomeView,
  candidate: Candidate,
  outstanding: number,
  slowdown: number,
  now: MonotonicMs,
): number {
  const { slots } = candidate;
  const excess = outstanding - slots + 1;
  const meanMs = view.report.meanMs > 0
    ? view.report.meanMs
    : INITIAL_RUN_ESTIMATE_MS;
  return Math.max(
    coldWaitMsOf(view, now),
    excess <= 0 ? 0 : excess * meanMs * slowdown / slots,
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
