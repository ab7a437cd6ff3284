/**
 * Canary analysis: compares a new version with the old one on the evidence of
 * one scope.
 * @module
 */
import type { MonotonicMs } from "../core/types.ts";
import { countsOf } from "./count_call.ts";
import { LATENCY_EDGES_MS, Side } from "./messages.ts";
import { type Finding, Measure } from "./messages.ts";
import {
  type AnalysisResult,
  type AnalysisState,
  type Counts,
  type Evidence,
  type TestState,
} from "./state.ts";
import { createTest, type Sample, updateScore } from "./update_score.ts";

/** Name that stands for all routes together. */
export const ALL_ROUTES = "*";

/** Rates of bad calls that are tolerated whatever the old version does. */
const TOLERATED_RATES: Readonly<Record<Measure, number>> = {
  [Measure.Errors]: 0.005,
  [Measure.Slowness]: 0.05,
  [Measure.Overdue]: 0.02,
};

/** Upper limit of the share of the old version's answers that count as slow. */
const SLOW_SHARE = 0.1;
/** Answers of the old version needed before any answer counts as slow. */
const MIN_OLD_ANSWERS = 30;

/**
 * Answers of the old version that a sample needs for a fair comparison. With
 * fewer, load that slows both versions looks like a fault of the new version.
 */
const MIN_CURRENT_OLD_ANSWERS = 5;

/** Log-likelihood ratio below which a fault is ruled out. */
const CLEAR_BELOW = Math.log(0.01);

/** Share of the faulty limit above which a version is suspect. */
const SUSPECT_SCORE_SHARE = 0.5;

/** Upper limit of the increase to rule out on a route with few calls. */
const MAX_RULE_OUT = 0.9;

/** Options of `analyzeEvidence`. */
export interface AnalyzeEvidenceOptions {
  readonly state: AnalysisState;
  /** Sums that never decrease. */
  readonly evidence: Evidence;
  /** Log-likelihood ratio above which a version is faulty. */
  readonly faultyAbove: number;
  /** Log-likelihood ratio for slow answers, if it differs. */
  readonly slowAbove?: number;
  /** Increase of a rate that has to be ruled out. */
  readonly ruleOut: number;
  readonly now: MonotonicMs;
}

/** Adds the new part of the evidence to the tests, and returns the result. */
export function analyzeEvidence(opts: AnalyzeEvidenceOptions): AnalysisResult {
  const { state, evidence } = opts;
  const elapsedMs = opts.now - state.analyzedAt;
  state.analyzedAt = opts.now;
  const diffs = new Map<string, Record<Side, Counts>>();
  for (const [key, counts] of evidence) {
    const diff = recordDiff(state, key, counts);
    if (diff === undefined) continue;
    for (const route of [counts.route, ALL_ROUTES]) addDiff(diffs, route, diff);
  }
  if (diffs.size === 0 && state.result !== undefined) return state.result;
  const all = state.tests.get(`${Measure.Errors} ${ALL_ROUTES}`);
  for (const [route, sides] of diffs) {
    const ruleOut = scaleRuleOut(state, route, all, opts.ruleOut);
    for (const measure of Object.values(Measure)) {
      const test = getTest(state, route, measure);
      const sample = createSample({
        measure,
        route,
        sides,
        evidence,
        elapsedMs,
      });
      const floor = TOLERATED_RATES[measure];
      updateScore({ test, sample, floor, ruleOut });
    }
  }
  state.result = conclude(opts);
  return state.result;
}

/**
 * Raises the increase to rule out on a route with fewer calls, since the same
 * increase puts fewer calls at risk there.
 */
function scaleRuleOut(
  state: AnalysisState,
  route: string,
  all: TestState | undefined,
  ruleOut: number,
): number {
  const test = state.tests.get(`${Measure.Errors} ${route}`);
  const total = (all?.calls ?? 0) + (all?.oldCalls ?? 0);
  const share = ((test?.calls ?? 0) + (test?.oldCalls ?? 0)) / total;
  return share > 0 ? Math.min(MAX_RULE_OUT, ruleOut / share) : ruleOut;
}

/**
 * Returns the counts added since the last analysis, undefined if there are
 * none, and marks them as analyzed.
 */
function recordDiff(
  state: AnalysisState,
  key: string,
  counts: Counts,
): Counts | undefined {
  const before = state.analyzed.get(key);
  const hasGrown = counts.calls !== (before?.calls ?? 0) ||
    counts.failures !== (before?.failures ?? 0);
  if (!hasGrown) return undefined;
  state.analyzed.set(key, { ...counts, buckets: [...counts.buckets] });
  return {
    ...counts,
    calls: counts.calls - (before?.calls ?? 0),
    failures: counts.failures - (before?.failures ?? 0),
    overdue: counts.overdue - (before?.overdue ?? 0),
    buckets: counts.buckets.map((count, bucket) =>
      count - (before?.buckets[bucket] ?? 0)
    ),
  };
}

function addDiff(
  diffs: Map<string, Record<Side, Counts>>,
  route: string,
  diff: Counts,
) {
  let sides = diffs.get(route);
  if (sides === undefined) {
    const none: Evidence = new Map();
    sides = {
      [Side.New]: countsOf(none, Side.New, route),
      [Side.Old]: countsOf(none, Side.Old, route),
    };
    diffs.set(route, sides);
  }
  const sum = sides[diff.side];
  sum.calls += diff.calls;
  sum.failures += diff.failures;
  sum.overdue += diff.overdue;
  for (let bucket = 0; bucket < sum.buckets.length; bucket++) {
    sum.buckets[bucket] = (sum.buckets[bucket] ?? 0) +
      (diff.buckets[bucket] ?? 0);
  }
}

function getTest(
  state: AnalysisState,
  route: string,
  measure: Measure,
): TestState {
  const key = `${measure} ${route}`;
  const found = state.tests.get(key);
  if (found !== undefined) return found;
  const test = createTest();
  state.tests.set(key, test);
  return test;
}

interface SampleOptions {
  readonly measure: Measure;
  readonly route: string;
  readonly sides: Record<Side, Counts>;
  readonly evidence: Evidence;
  readonly elapsedMs: number;
}

function createSample(opts: SampleOptions): Sample {
  const newCounts = opts.sides[Side.New];
  const oldCounts = opts.sides[Side.Old];
  const sample = (
    calls: number,
    bad: number,
    oldCalls: number,
    oldBad: number,
  ) => ({
    // An overdue call is counted before it fails, so a tick may have more bad
    // calls than calls.
    calls: Math.max(calls, bad, 0),
    bad: Math.max(bad, 0),
    oldCalls: Math.max(oldCalls, oldBad, 0),
    oldBad: Math.max(oldBad, 0),
    elapsedMs: opts.elapsedMs,
  });
  switch (opts.measure) {
    case Measure.Errors:
      return sample(
        newCounts.calls,
        newCounts.failures,
        oldCounts.calls,
        oldCounts.failures,
      );
    case Measure.Overdue:
      return sample(
        newCounts.calls,
        newCounts.overdue,
        oldCounts.calls,
        oldCounts.overdue,
      );
    case Measure.Slowness: {
      const slowBucket = findSlowBucket(
        sumOldBuckets(opts.evidence, opts.route),
      );
      if (slowBucket === undefined) return sample(0, 0, 0, 0);
      const sum = (buckets: readonly number[]) =>
        buckets.reduce((total, count) => total + count, 0);
      const isComparable = sum(oldCounts.buckets) >= MIN_CURRENT_OLD_ANSWERS;
      // Without a comparison only answers at least twice as slow count: the
      // bounds double from one bucket to the next.
      const firstSlow = isComparable ? slowBucket : slowBucket + 1;
      return sample(
        sum(newCounts.buckets),
        sum(newCounts.buckets.slice(firstSlow)),
        sum(oldCounts.buckets),
        sum(oldCounts.buckets.slice(firstSlow)),
      );
    }
  }
}

/**
 * Returns the lowest bucket from which on at most `SLOW_SHARE` of the old
 * version's answers lie. Answers in that bucket or above count as slow. Returns
 * undefined if there are too few answers to find the bucket.
 */
export function findSlowBucket(buckets: readonly number[]): number | undefined {
  const total = buckets.reduce((sum, count) => sum + count, 0);
  if (total < MIN_OLD_ANSWERS) return undefined;
  let above = total;
  for (let bucket = 0; bucket <= LATENCY_EDGES_MS.length; bucket++) {
    // Adds two standard errors, so that a lucky sample does not set the bucket
    // too low.
    const bound = above + 2 * Math.sqrt(above) + 1;
    if (bound <= SLOW_SHARE * total) return bucket;
    above -= buckets[bucket] ?? 0;
  }
  return undefined;
}

/** Sums the old version's latency buckets on a route. */
export function sumOldBuckets(
  evidence: Evidence,
  route: string,
): readonly number[] {
  const sums = new Array<number>(LATENCY_EDGES_MS.length + 1).fill(0);
  for (const counts of evidence.values()) {
    const isCounted = counts.side === Side.Old &&
      (route === ALL_ROUTES || counts.route === route);
    if (!isCounted) continue;
    counts.buckets.forEach((count, bucket) => {
      sums[bucket] = (sums[bucket] ?? 0) + count;
    });
  }
  return sums;
}

function conclude(opts: AnalyzeEvidenceOptions): AnalysisResult {
  const { state } = opts;
  let worst: Finding | undefined;
  /** Highest score as a share of its limit. */
  let worstShare = 0;
  for (const [key, test] of state.tests) {
    const score = Math.max(...test.scores);
    const [measure = "", route = ""] = key.split(" ");
    const share = score / scoreLimit(opts, measure as Measure);
    if (share <= worstShare) continue;
    const { calls, bad, oldCalls, oldBad } = test;
    worstShare = share;
    worst = {
      route,
      measure: measure as Measure,
      calls,
      bad,
      oldCalls,
      oldBad,
      score,
    };
  }
  if (worst !== undefined && worstShare > 1) {
    return { type: "faulty", finding: worst };
  }
  const calls = state.tests.get(`${Measure.Errors} ${ALL_ROUTES}`)?.calls ?? 0;
  const isSuspect = worstShare > SUSPECT_SCORE_SHARE;
  const isClear = !isSuspect && calls > 0 && areAllRoutesClear(state);
  return isClear
    ? { type: "clear", calls }
    : { type: "unclear", isSuspect, calls };
}

function scoreLimit(opts: AnalyzeEvidenceOptions, measure: Measure): number {
  return measure === Measure.Slowness
    ? opts.slowAbove ?? opts.faultyAbove
    : opts.faultyAbove;
}

/** True when the fault is ruled out on each route with calls to the version. */
function areAllRoutesClear(state: AnalysisState): boolean {
  return [...state.tests].every(([key, test]) =>
    key.startsWith(Measure.Overdue) || test.calls === 0 ||
    test.clearance < CLEAR_BELOW
  );
}

/** Restarts the counts for the next step. Keeps the fault scores. */
export function resetClearance(state: AnalysisState) {
  delete state.result;
  for (const test of state.tests.values()) {
    test.clearance = 0;
    test.calls = 0;
    test.bad = 0;
  }
}

/** Resets the fault scores after a fault that the new version did not cause. */
export function resetScores(state: AnalysisState) {
  for (const test of state.tests.values()) test.scores.fill(0);
  resetClearance(state);
}
