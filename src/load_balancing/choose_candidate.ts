/**
 * Chooses the home with the least expected cost of a call.
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

/** Part of a run that a busy endpoint adds to it, at most. */
const crowdShare = 0.15;

/** Cost of a failed offer, in milliseconds: it is made again elsewhere. */
const failureMs = 150;

/** Round trip to another failure domain and the work of two more hops. */
const leaveMs = 4;

/**
 * Price of a kilobyte between failure domains, in milliseconds of latency.
 * A photograph or an archive waits for a slot of its own domain; a small call
 * leaves as soon as it would have to wait.
 */
const msPerKilobyte = 4;

/**
 * Bytes of a call above which each kilobyte costs more, and how much more: one
 * archive takes the bandwidth between domains from some hundred small calls, so
 * it leaves only where its own domain could not serve it at all.
 */
const largeBytes = 16_384;
const msPerLargeKilobyte = 8;

/**
 * Part of the time left to the aim that an answer may take before it is at
 * risk: runs differ by about a factor of two.
 */
const safeShare = 0.5;

/**
 * Cost of a millisecond that puts the aim at risk, and of one that does not.
 * An answer well within its aim is worth nearly as much as a faster one.
 */
const riskyCost = 2;
const safeCost = 0.25;

/** Run time assumed of a home that has not run the route, in milliseconds. */
const unknownRunMs = 10;

/** Age of a report after which its waiting calls no longer count, in ms. */
const staleMs = 400;

/** Options of `chooseCandidate`. */
export interface ChooseCandidateOptions {
  /** Route of the call. */
  readonly route: string;
  readonly candidates: readonly Candidate[];
  readonly tried: ReadonlySet<NodeId>;
  readonly ownDomain: string;
  /** Expected size of request and answer. */
  readonly bytes: number;
  /** Time left to the end of the latency objective, in milliseconds. */
  readonly objectiveLeftMs: number;
  readonly now: MonotonicMs;
  /** 0 to 1. Parts equals. */
  readonly random: () => number;
}

/** The cheapest home, and whether it is expected to have room. */
export interface Choice {
  readonly home: NodeId;
  /** Whether the wait there leaves no margin to the end of the aim. */
  readonly isFull: boolean;
}

/**
 * Returns the untried home with the least cost, if any.
 *
 * Answers load that is spread unevenly: a burst in one failure domain spills
 * to others only as far as waiting at home puts the aim at risk; slow and cold
 * endpoints get fewer calls by their run times; endpoints that fail part of their calls are
 * left to those calls that find no other room.
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
    const isShunned = opts.now < view.ejectedUntil;
    const crowd = Math.min(
      1,
      outstandingOf(view, opts.now) / candidate.slots,
    );
    const tookMs = networkTimeOf(view, opts.now) + waitMs +
      runMs * (1 + crowdShare * crowd);
    const cost = costOfTime(tookMs, opts.objectiveLeftMs) + opts.random() +
      failureShareOf(state, candidate.home, opts.now) * failureMs +
      (candidate.domain === opts.ownDomain ? 0 : priceOfLeaving(opts.bytes)) +
      (isShunned ? 1e6 : 0);
    if (cost >= bestCost) continue;
    bestCost = cost;
    const isFull = !isWaitWithinMargin(waitMs, opts.objectiveLeftMs - runMs);
    best = { home: candidate.home, isFull };
  }
  return best;
}

function costOfTime(tookMs: number, objectiveLeftMs: number): number {
  const riskyMs = tookMs - Math.max(0, objectiveLeftMs) * safeShare;
  return tookMs * safeCost + Math.max(0, riskyMs) * riskyCost;
}

function priceOfLeaving(bytes: number): number {
  const largeKilobytes = Math.max(0, bytes - largeBytes) / 1_024;
  return leaveMs + bytes / 1_024 * msPerKilobyte +
    largeKilobytes * msPerLargeKilobyte;
}

function runMsOf(
  view: HomeView,
  candidate: Candidate,
  opts: ChooseCandidateOptions,
): number {
  // A home that has not run the route yet counts as a fast one, so that it is
  // tried: its mean over other routes would keep it from ever being so.
  const meanMs = view.routeMs.get(opts.route) ?? unknownRunMs;
  return meanMs * slowdownOf(candidate, opts.now);
}

function slowdownOf(candidate: Candidate, now: MonotonicMs): number {
  return now < candidate.coldUntil ? COLD_START_FACTOR : 1;
}

/** Calls at a home: those it reported, and those sent from here since. */
function outstandingOf(view: HomeView, now: MonotonicMs): number {
  const { report, inFlight, inFlightAtReport, reportedAt } = view;
  const since = inFlight - inFlightAtReport;
  // What waited when the home last reported has started or gone since.
  const waiting = now - reportedAt < staleMs ? report.waiting : 0;
  return Math.max(inFlight, report.running + waiting + since);
}

function waitMsOf(
  view: HomeView,
  candidate: Candidate,
  now: MonotonicMs,
): number {
  const { slots } = candidate;
  const over = outstandingOf(view, now) - slots + 1;
  const meanMs = view.report.meanMs > 0
    ? view.report.meanMs
    : INITIAL_RUN_ESTIMATE_MS;
  const runMs = meanMs * slowdownOf(candidate, now);
  return over <= 0 ? 0 : over * runMs / slots;
}
