/**
 * The sequential test of one route and measure.
 *
 * For each of several fault sizes it sums the log-likelihood ratio of a faulty
 * rate against a tolerable rate. The tolerable rate follows the old version's
 * calls at the same time. The sum never falls below 0 (Page's CUSUM), so
 * earlier good calls do not dilute a fault that begins late.
 * @module
 */
import type { TestState } from "./state.ts";

/** Fault sizes: share of the otherwise good calls that a fault turns bad. */
const FAULT_SIZES = [0.04, 0.2, 0.6] as const;

/** The tolerable rate is this many times the old version's, plus the floor. */
const TOLERATED_RATIO = 1.5;
const MAX_TOLERABLE_RATE = 0.9;

/** Time in which the weight of the old version's calls halves. */
const HALF_LIFE_MS = 20_000;
/**
 * Upper limit of what one sample adds to a score. Calls at the same moment are
 * not independent, so a single stall must not make a version faulty.
 */
const MAX_GAIN_PER_SAMPLE = 5;

/**
 * Weight, in calls, of the old version's long-term rate when its usual rate is
 * computed.
 */
const LONG_TERM_RATE_CALLS = 50;
/** Weight, in calls, of the usual rate when a sample's rate is computed. */
const PRIOR_CALLS = 5;

/** Calls and bad calls of both versions in one tick. */
export interface Sample {
  readonly calls: number;
  readonly bad: number;
  readonly oldCalls: number;
  readonly oldBad: number;
  /** Time that the sample covers. */
  readonly elapsedMs: number;
}

/** Options of `updateScore`. */
export interface UpdateScoreOptions {
  readonly test: TestState;
  readonly sample: Sample;
  /** Rate that is tolerated even if the old version has no bad calls. */
  readonly floor: number;
  /** Increase of the rate that has to be ruled out before the next step. */
  readonly ruleOut: number;
}

export function createTest(): TestState {
  return {
    scores: FAULT_SIZES.map(() => 0),
    clearance: 0,
    calls: 0,
    bad: 0,
    oldCalls: 0,
    oldBad: 0,
    allOldCalls: 0,
    allOldBad: 0,
  };
}

/** Adds a sample to a test. */
export function updateScore(opts: UpdateScoreOptions) {
  const { test, sample } = opts;
  const decay = 0.5 ** (sample.elapsedMs / HALF_LIFE_MS);
  test.oldCalls = test.oldCalls * decay + sample.oldCalls;
  test.oldBad = test.oldBad * decay + sample.oldBad;
  test.allOldCalls += sample.oldCalls;
  test.allOldBad += sample.oldBad;
  if (sample.calls === 0) return;
  test.calls += sample.calls;
  test.bad += sample.bad;
  const tolerable = computeTolerableRate(opts);
  FAULT_SIZES.forEach((size, index) => {
    const faulty = tolerable + size * (1 - tolerable);
    const gain = Math.min(
      MAX_GAIN_PER_SAMPLE,
      logLikelihoodRatio(sample, tolerable, faulty),
    );
    const score = (test.scores[index] ?? 0) + gain;
    test.scores[index] = Math.max(0, score);
  });
  const excludedRate = tolerable + opts.ruleOut * (1 - tolerable);
  test.clearance += logLikelihoodRatio(sample, tolerable, excludedRate);
}

/** Uses the higher of the old version's usual rate and its current rate. */
function computeTolerableRate(opts: UpdateScoreOptions): number {
  const { test, sample } = opts;
  // One extra bad call, one extra good call and a standard error keep a small
  // sample from looking perfect. Without recent calls the usual rate falls back
  // to the long-term rate.
  const longTermRate = (test.allOldBad + 1) / (test.allOldCalls + 2);
  const weight = Math.min(LONG_TERM_RATE_CALLS, test.allOldCalls + 2);
  const weightedCalls = test.oldCalls + weight;
  const mean = (test.oldBad + weight * longTermRate) / weightedCalls;
  const usualRate = mean + Math.sqrt(mean * (1 - mean) / weightedCalls);
  const currentRate = (sample.oldBad + PRIOR_CALLS * usualRate) /
    (sample.oldCalls + PRIOR_CALLS);
  const rate = TOLERATED_RATIO * Math.max(usualRate, currentRate) + opts.floor;
  return Math.min(MAX_TOLERABLE_RATE, rate);
}

function logLikelihoodRatio(
  sample: Sample,
  tolerable: number,
  faulty: number,
): number {
  const good = sample.calls - sample.bad;
  return sample.bad * Math.log(faulty / tolerable) +
    good * Math.log((1 - faulty) / (1 - tolerable));
}
