/**
 * The sequential test of one route and measure.
 *
 * For each of several fault sizes it sums the log-likelihood ratio of the new
 * version's calls against the rate that the old version's calls at the same
 * time make tolerable, and restarts at 0 (Page's CUSUM). So a late fault counts
 * from its start, and no earlier good calls dilute it.
 * @module
 */
import type { TestState } from "./state.ts";

/** Fault sizes as parts of the calls that the tolerable rate leaves good. */
const faultSizes = [0.04, 0.2, 0.6] as const;

/** The tolerable rate is this many times the old version's, and a floor. */
const toleratedRatio = 1.5;
const maxTolerable = 0.9;

const halfLifeMs = 20_000;
/**
 * Most that one sample adds to a score. Calls of one moment are not
 * independent: a single stall must not decide.
 */
const maxGain = 5;

/** Calls that the rate of all time weighs against the recent one. */
const lastingCalls = 50;
/** Calls that the decayed rate weighs against one tick's rate. */
const priorCalls = 5;

/** Counts of one tick. */
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
  /** Rate that is always tolerated. */
  readonly floor: number;
  /** Rise of the rate that has to be ruled out before the next step. */
  readonly ruleOut: number;
}

export function createTest(): TestState {
  return {
    scores: faultSizes.map(() => 0),
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
  const decay = 0.5 ** (sample.elapsedMs / halfLifeMs);
  test.oldCalls = test.oldCalls * decay + sample.oldCalls;
  test.oldBad = test.oldBad * decay + sample.oldBad;
  test.allOldCalls += sample.oldCalls;
  test.allOldBad += sample.oldBad;
  if (sample.calls === 0) return;
  test.calls += sample.calls;
  test.bad += sample.bad;
  const tolerable = tolerableRate(opts);
  faultSizes.forEach((size, index) => {
    const faulty = tolerable + size * (1 - tolerable);
    const gain = Math.min(maxGain, ratio(sample, tolerable, faulty));
    const score = (test.scores[index] ?? 0) + gain;
    test.scores[index] = Math.max(0, score);
  });
  const excluded = tolerable + opts.ruleOut * (1 - tolerable);
  test.clearance += ratio(sample, tolerable, excluded);
}

/** The higher of the old version's usual rate and its rate in this sample. */
function tolerableRate(opts: UpdateScoreOptions): number {
  const { test, sample } = opts;
  // A bad and a good call more, and a standard error, keep a small sample
  // from looking perfect. Without recent calls the rate of all time returns.
  const lasting = (test.allOldBad + 1) / (test.allOldCalls + 2);
  const weight = Math.min(lastingCalls, test.allOldCalls + 2);
  const rated = test.oldCalls + weight;
  const mean = (test.oldBad + weight * lasting) / rated;
  const usual = mean + Math.sqrt(mean * (1 - mean) / rated);
  const present = (sample.oldBad + priorCalls * usual) /
    (sample.oldCalls + priorCalls);
  const rate = toleratedRatio * Math.max(usual, present) + opts.floor;
  return Math.min(maxTolerable, rate);
}

function ratio(sample: Sample, tolerable: number, faulty: number): number {
  const good = sample.calls - sample.bad;
  return sample.bad * Math.log(faulty / tolerable) +
    good * Math.log((1 - faulty) / (1 - tolerable));
}
