/**
 * Judges a new version by the evidence of one scope.
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

/** Stands for all routes together. */
export const ALL_ROUTES = "*";

/** Rates that are tolerated whatever the old version does. */
const floors: Readonly<Record<Measure, number>> = {
  [Measure.Errors]: 0.005,
  [Measure.Slowness]: 0.05,
  [Measure.Overdue]: 0.02,
};

/** Share of the old version's answers that counts as slow, at most. */
const slowShare = 0.1;
const minOldAnswers = 30;

/**
 * Answers of the old version in a sample that make it a fair comparison. Without
 * them a load that slows both versions looks like a fault of the new one.
 */
const minPresentAnswers = 5;

/** Log-likelihood ratio below which a fault is ruled out. */
const clearBelow = Math.log(0.01);

/** Part of the limit above which a version is suspect. */
const suspectPart = 0.5;

/** Largest rise to rule out on a route with few of the calls. */
const maxRuleOut = 0.9;

/** Options of `analyzeEvidence`. */
export interface AnalyzeEvidenceOptions {
  readonly state: AnalysisState;
  /** Sums that only grow. */
  readonly evidence: Evidence;
  /** Log-likelihood ratio above which a version is faulty. */
  readonly faultyAbove: number;
  /** The same for slow answers, where it differs. */
  readonly slowAbove?: number;
  /** Rise of a rate that has to be ruled out. */
  readonly ruleOut: number;
  readonly now: MonotonicMs;
}

/** Adds what is new in the evidence to the tests, and judges. */
export function analyzeEvidence(opts: AnalyzeEvidenceOptions): AnalysisResult {
  const { state, evidence } = opts;
  const elapsedMs = opts.now - state.judgedAt;
  state.judgedAt = opts.now;
  const fresh = new Map<string, Record<Side, Counts>>();
  for (const [key, counts] of evidence) {
    const rise = riseOf(state, key, counts);
    if (rise === undefined) continue;
    for (const route of [counts.route, ALL_ROUTES]) addRise(fresh, route, rise);
  }
  if (fresh.size === 0 && state.last !== undefined) return state.last;
  const all = state.tests.get(`${Measure.Errors} ${ALL_ROUTES}`);
  for (const [route, sides] of fresh) {
    const ruleOut = ruleOutOn(state, route, all, opts.ruleOut);
    for (const measure of Object.values(Measure)) {
      const test = testOf(state, route, measure);
      const sample = sampleOf({ measure, route, sides, evidence, elapsedMs });
      const floor = floors[measure];
      updateScore({ test, sample, floor, ruleOut });
    }
  }
  state.last = conclude(opts);
  return state.last;
}

/** A smaller route may rise more before as many calls are at risk. */
function ruleOutOn(
  state: AnalysisState,
  route: string,
  all: TestState | undefined,
  ruleOut: number,
): number {
  const test = state.tests.get(`${Measure.Errors} ${route}`);
  const total = (all?.calls ?? 0) + (all?.oldCalls ?? 0);
  const part = ((test?.calls ?? 0) + (test?.oldCalls ?? 0)) / total;
  return part > 0 ? Math.min(maxRuleOut, ruleOut / part) : ruleOut;
}

/** Counts since the last judgement, none when they did not grow. */
function riseOf(
  state: AnalysisState,
  key: string,
  counts: Counts,
): Counts | undefined {
  const before = state.judged.get(key);
  const hasGrown = counts.calls !== (before?.calls ?? 0) ||
    counts.failures !== (before?.failures ?? 0);
  if (!hasGrown) return undefined;
  state.judged.set(key, { ...counts, buckets: [...counts.buckets] });
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

function addRise(
  fresh: Map<string, Record<Side, Counts>>,
  route: string,
  rise: Counts,
) {
  let sides = fresh.get(route);
  if (sides === undefined) {
    const none: Evidence = new Map();
    sides = {
      [Side.New]: countsOf(none, Side.New, route),
      [Side.Old]: countsOf(none, Side.Old, route),
    };
    fresh.set(route, sides);
  }
  const sum = sides[rise.side];
  sum.calls += rise.calls;
  sum.failures += rise.failures;
  sum.overdue += rise.overdue;
  for (let bucket = 0; bucket < sum.buckets.length; bucket++) {
    sum.buckets[bucket] = (sum.buckets[bucket] ?? 0) +
      (rise.buckets[bucket] ?? 0);
  }
}

function testOf(
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

function sampleOf(opts: SampleOptions): Sample {
  const fresh = opts.sides[Side.New];
  const old = opts.sides[Side.Old];
  const sample = (
    calls: number,
    bad: number,
    oldCalls: number,
    oldBad: number,
  ) => ({
    // A late failure of an overdue call may come in a tick without calls.
    calls: Math.max(calls, bad, 0),
    bad: Math.max(bad, 0),
    oldCalls: Math.max(oldCalls, oldBad, 0),
    oldBad: Math.max(oldBad, 0),
    elapsedMs: opts.elapsedMs,
  });
  switch (opts.measure) {
    case Measure.Errors:
      return sample(fresh.calls, fresh.failures, old.calls, old.failures);
    case Measure.Overdue:
      return sample(fresh.calls, fresh.overdue, old.calls, old.overdue);
    case Measure.Slowness: {
      const usual = slowFrom(oldBuckets(opts.evidence, opts.route));
      if (usual === undefined) return sample(0, 0, 0, 0);
      const sum = (buckets: readonly number[]) =>
        buckets.reduce((total, count) => total + count, 0);
      const isFair = sum(old.buckets) >= minPresentAnswers;
      // One bucket more: twice the latency that the old version's load made.
      const first = isFair ? usual : usual + 1;
      return sample(
        sum(fresh.buckets),
        sum(fresh.buckets.slice(first)),
        sum(old.buckets),
        sum(old.buckets.slice(first)),
      );
    }
  }
}

/** First bucket that holds at most `slowShare` of the old answers above. */
export function slowFrom(buckets: readonly number[]): number | undefined {
  const total = buckets.reduce((sum, count) => sum + count, 0);
  if (total < minOldAnswers) return undefined;
  let above = total;
  for (let bucket = 0; bucket <= LATENCY_EDGES_MS.length; bucket++) {
    // Two standard errors more: a lucky sample must not set the limit low.
    const bound = above + 2 * Math.sqrt(above) + 1;
    if (bound <= slowShare * total) return bucket;
    above -= buckets[bucket] ?? 0;
  }
  return undefined;
}

/** Latency buckets of the old version on a route. */
export function oldBuckets(
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
  /** Highest score as a part of its limit. */
  let worstPart = 0;
  for (const [key, test] of state.tests) {
    const score = Math.max(...test.scores);
    const [measure = "", route = ""] = key.split(" ");
    const part = score / limitOf(opts, measure as Measure);
    if (part <= worstPart) continue;
    const { calls, bad, oldCalls, oldBad } = test;
    worstPart = part;
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
  if (worst !== undefined && worstPart > 1) {
    return { type: "faulty", finding: worst };
  }
  const calls = state.tests.get(`${Measure.Errors} ${ALL_ROUTES}`)?.calls ?? 0;
  const isSuspect = worstPart > suspectPart;
  const isClear = !isSuspect && calls > 0 && areRoutesClear(state);
  return isClear
    ? { type: "clear", calls }
    : { type: "unclear", isSuspect, calls };
}

function limitOf(opts: AnalyzeEvidenceOptions, measure: Measure): number {
  return measure === Measure.Slowness
    ? opts.slowAbove ?? opts.faultyAbove
    : opts.faultyAbove;
}

/** Every route that the new version has answered has to be clear. */
function areRoutesClear(state: AnalysisState): boolean {
  return [...state.tests].every(([key, test]) =>
    key.startsWith(Measure.Overdue) || test.calls === 0 ||
    test.clearance < clearBelow
  );
}

/** Starts counting anew for the next step. Fault scores go on. */
export function resetClearance(state: AnalysisState) {
  delete state.last;
  for (const test of state.tests.values()) {
    test.clearance = 0;
    test.calls = 0;
    test.bad = 0;
  }
}

/** Forgets scores that were found to blame the wrong version. */
export function resetScores(state: AnalysisState) {
  for (const test of state.tests.values()) test.scores.fill(0);
  resetClearance(state);
}
