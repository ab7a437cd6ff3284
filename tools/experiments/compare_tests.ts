/**
 * Compares sequential tests by simulating their decisions.
 * @module
 */
import { createTest, updateScore } from "../../src/rollout/update_score.ts";
import { type Figure, figure } from "./figure.ts";
import { createRandom, type Random } from "./rollouts_random.ts";

const trials = 300;
const ticks = 400;
const callsPerTick = 4;
const oldCallsPerTick = 40;
const usualRate = 0.005;
const threshold = Math.log(1e4);

/** Takes one tick's bad calls of both versions; true once faulty. */
type Test = (bad: number, oldBad: number) => boolean;

function createCusum(): Test {
  const test = createTest();
  return (bad, oldBad) => {
    const calls = callsPerTick;
    const oldCalls = oldCallsPerTick;
    const sample = { calls, bad, oldCalls, oldBad, elapsedMs: 250 };
    updateScore({ test, sample, floor: 0.005, ruleOut: 0.2 });
    return Math.max(...test.scores) > threshold;
  };
}

/** Wald's test of the old rate against five points more, without restart. */
function createWald(): Test {
  let score = 0;
  let old = 0;
  let oldBadSum = 0;
  return (bad, oldBad) => {
    old += oldCallsPerTick;
    oldBadSum += oldBad;
    const rate = 1.5 * (oldBadSum + 1) / (old + 2) + 0.005;
    const faulty = rate + 0.05;
    score += bad * Math.log(faulty / rate) +
      (callsPerTick - bad) * Math.log((1 - faulty) / (1 - rate));
    return score > threshold;
  };
}

/** Two proportions every 10 ticks, the error spread evenly over the looks. */
function createGroupSequential(): Test {
  const sums = { calls: 0, bad: 0, old: 0, oldBad: 0, tick: 0 };
  const critical = 4.6; // two-sided 1e-4 over 40 looks
  return (bad, oldBad) => {
    sums.calls += callsPerTick;
    sums.bad += bad;
    sums.old += oldCallsPerTick;
    sums.oldBad += oldBad;
    if (++sums.tick % 10 !== 0) return false;
    const rate = sums.bad / sums.calls;
    const oldRate = sums.oldBad / sums.old;
    const pooled = (sums.bad + sums.oldBad) / (sums.calls + sums.old);
    const spread = pooled * (1 - pooled) * (1 / sums.calls + 1 / sums.old);
    return (rate - oldRate) / Math.sqrt(spread || 1) > critical;
  };
}

/** Calls after the fault began until it was seen; none when missed. */
function runTrial(
  random: Random,
  test: Test,
  rise: number,
  beginTick: number,
): number | undefined {
  for (let tick = 0; tick < ticks; tick++) {
    const rate = usualRate + (tick >= beginTick ? rise : 0);
    const bad = random.binomial(callsPerTick, rate);
    const oldBad = random.binomial(oldCallsPerTick, usualRate);
    if (test(bad, oldBad)) return (tick - beginTick + 1) * callsPerTick;
  }
  return undefined;
}

/** Figures of each test for faults at once, late and none. */
export function compareTests(seed: number): readonly Figure[] {
  const makers = {
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
  return Object.entries(makers).flatMap(([test, make]) =>
    cases.flatMap(({ name, rise, begin }) => {
      const random = createRandom(seed);
      const all = Array.from(
        { length: trials },
        () => runTrial(random, make(), rise, begin),
      );
      const seen = all.flatMap((calls) => calls ?? []).sort((a, b) => a - b);
      const share = seen.length / trials;
      const label = `test ${test}, ${name}`;
      return [
        figure(`${label}: verdicts`, share, "of trials"),
        figure(`${label}: calls, median`, seen[seen.length >> 1] ?? 0, "calls"),
      ];
    })
  );
}
