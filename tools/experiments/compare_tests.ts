/**
 * Compares three sequential statistical tests on simulated calls: the one of
 * the canary analysis, Wald's test and a group-sequential test.
 * @module
 */
import { createTest, updateScore } from "../../src/rollout/update_score.ts";
import { type Figure, figure } from "./figure.ts";
import { createRandom, type Random } from "./rollouts_random.ts";

const TRIAL_COUNT = 300;
const TICKS_PER_TRIAL = 400;
const CALLS_PER_TICK = 4;
const OLD_CALLS_PER_TICK = 40;
const USUAL_FAILURE_SHARE = 0.005;
const SCORE_THRESHOLD = Math.log(1e4);

/**
 * Adds one tick's bad calls of the new and the old version. Returns whether
 * the test finds the new version faulty.
 */
type Test = (bad: number, oldBad: number) => boolean;

/** The test that the canary analysis uses. */
function createCusum(): Test {
  const test = createTest();
  return (bad, oldBad) => {
    const calls = CALLS_PER_TICK;
    const oldCalls = OLD_CALLS_PER_TICK;
    const sample = { calls, bad, oldCalls, oldBad, elapsedMs: 250 };
    updateScore({ test, sample, floor: 0.005, ruleOut: 0.2 });
    return Math.max(...test.scores) > SCORE_THRESHOLD;
  };
}

/**
 * Wald's test of the old version's failure rate against a rate that is five
 * percentage points higher. The score may fall below 0.
 */
function createWald(): Test {
  let score = 0;
  let oldCalls = 0;
  let oldBadSum = 0;
  return (bad, oldBad) => {
    oldCalls += OLD_CALLS_PER_TICK;
    oldBadSum += oldBad;
    const rate = 1.5 * (oldBadSum + 1) / (oldCalls + 2) + 0.005;
    const faulty = rate + 0.05;
    score += bad * Math.log(faulty / rate) +
      (CALLS_PER_TICK - bad) * Math.log((1 - faulty) / (1 - rate));
    return score > SCORE_THRESHOLD;
  };
}

/**
 * Compares the two failure rates every 10 ticks. The error probability is
 * spread evenly over these interim looks.
 */
function createGroupSequential(): Test {
  const sums = { calls: 0, bad: 0, old: 0, oldBad: 0, tick: 0 };
  const critical = 4.6; // z for a two-sided error of 1e-4 over 40 looks
  return (bad, oldBad) => {
    sums.calls += CALLS_PER_TICK;
    sums.bad += bad;
    sums.old += OLD_CALLS_PER_TICK;
    sums.oldBad += oldBad;
    if (++sums.tick % 10 !== 0) return false;
    const rate = sums.bad / sums.calls;
    const oldRate = sums.oldBad / sums.old;
    const pooled = (sums.bad + sums.oldBad) / (sums.calls + sums.old);
    const spread = pooled * (1 - pooled) * (1 / sums.calls + 1 / sums.old);
    return (rate - oldRate) / Math.sqrt(spread || 1) > critical;
  };
}

/**
 * Returns the calls from the start of the fault until its detection, or
 * undefined if it is missed.
 */
function runTrial(
  random: Random,
  test: Test,
  rise: number,
  beginTick: number,
): number | undefined {
  for (let tick = 0; tick < TICKS_PER_TRIAL; tick++) {
    const rate = USUAL_FAILURE_SHARE + (tick >= beginTick ? rise : 0);
    const bad = random.binomial(CALLS_PER_TICK, rate);
    const oldBad = random.binomial(OLD_CALLS_PER_TICK, USUAL_FAILURE_SHARE);
    if (test(bad, oldBad)) return (tick - beginTick + 1) * CALLS_PER_TICK;
  }
  return undefined;
}

/** Simulates each test without a fault, and with early and late faults. */
export function compareTests(seed: number): readonly Figure[] {
  const factories = {
    cusum: createCusum,
    wald: createWald,
    "group z": createGroupSequential,
  };
  const cases = [
    { name: "no fault", rise: 0, begin: 0 },
    { name: "10% at once", rise: 0.1, begin: 0 },
    { name: "10% late", rise: 0.1, begin: 250 },
    { name: "50% late", rise: 0.5, begin: 250 },
  ];
  return Object.entries(factories).flatMap(([test, make]) =>
    cases.flatMap(({ name, rise, begin }) => {
      const random = createRandom(seed);
      const all = Array.from(
        { length: TRIAL_COUNT },
        () => runTrial(random, make(), rise, begin),
      );
      const seen = all.flatMap((calls) => calls ?? []).sort((a, b) => a - b);
      const share = seen.length / TRIAL_COUNT;
      const label = `test ${test}, ${name}`;
      return [
        figure(`${label}: verdicts`, share, "of trials"),
        figure(`${label}: calls, median`, seen[seen.length >> 1] ?? 0, "calls"),
      ];
    })
  );
}
