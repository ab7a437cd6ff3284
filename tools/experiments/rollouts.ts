/**
 * Experiment `rollouts`: simulates rollouts of good and faulty versions with
 * the production decisions and with a simple baseline.
 * @module
 */
import { RolloutPhase } from "../../src/config_log/state.ts";
import { type ExperimentOptions, type Figure, figure } from "./figure.ts";
import { createRandom } from "./rollouts_random.ts";
import {
  DEPLOYMENTS,
  drawScenarios,
  type Fault,
  type Scenario,
} from "./rollouts_scenarios.ts";
import { compareTests } from "./compare_tests.ts";
import {
  type RolloutOutcome,
  simulateRollout,
  Strategy,
} from "./simulate_rollout.ts";

const ROLLOUT_COUNT = 240;
const RUNS_PER_CASE = 8;
/** Longest allowed time from a fault's evidence to the version's last call. */
const MAX_STOP_MS = 2_000;

interface Run {
  readonly scenario: Scenario;
  readonly outcome: RolloutOutcome;
}

/** Simulates the same scenarios with both strategies. */
export function runRollouts(
  opts: ExperimentOptions,
): Promise<readonly Figure[]> {
  const scenarios = drawScenarios(createRandom(opts.seed), ROLLOUT_COUNT);
  const run = (strategy: Strategy) =>
    scenarios.map((scenario) => ({
      scenario,
      outcome: simulateRollout(scenario, strategy),
    }));
  opts.onProgress(
    `Simulating ${ROLLOUT_COUNT} rollouts with the production decisions.`,
  );
  const production = run(Strategy.Production);
  for (const { scenario, outcome } of production) {
    const isBad = scenario.fault !== undefined;
    const isRight = outcome.phase ===
      (isBad ? RolloutPhase.RolledBack : RolloutPhase.Done);
    const stopMs = Math.max(outcome.stopMs ?? 0, outcome.alarmMs ?? 0);
    if (!isRight || (isBad && stopMs > MAX_STOP_MS)) {
      opts.onProgress(
        `Unexpected outcome: ${JSON.stringify({ ...scenario, ...outcome })}`,
      );
    }
  }
  opts.onProgress(`Simulating the same rollouts with the baseline.`);
  const baseline = run(Strategy.Baseline);
  return Promise.resolve([
    ...summarize("", production, true),
    ...summarize("baseline: ", baseline, false),
    ...measureDetection(opts.seed),
    ...compareHangs(opts.seed),
    ...compareTests(opts.seed),
  ]);
}

/** Measures the share of versions rolled back, by the size of the fault. */
function measureDetection(seed: number): readonly Figure[] {
  const [, deployment] = DEPLOYMENTS;
  if (deployment === undefined) return [];
  const none = { errorShare: 0, hangShare: 0, slowdown: 1, when: "always" };
  const cases = [
    ...[0.02, 0.05, 0.1].map((errorShare) => ({ errorShare })),
    ...[1.5, 2, 4].map((slowdown) => ({ slowdown })),
    ...[0.02, 0.1].map((hangShare) => ({ hangShare })),
  ];
  return cases.map((fault, index) => {
    const runs = Array.from(
      { length: RUNS_PER_CASE },
      (_, run) =>
        simulateRollout({
          seed: seed + 100 * index + run,
          deployment,
          fault: { ...none, ...fault } as Fault,
          trouble: "none",
          totalMs: 120_000,
        }, Strategy.Production),
    );
    const back = runs.filter((one) => one.phase === RolloutPhase.RolledBack);
    const name = `curve ${JSON.stringify(fault)}: taken back`;
    return figure(name, back.length / RUNS_PER_CASE, "of versions");
  });
}

/**
 * Measures the time from the first hung call to the last call of the new
 * version, with open calls reported and with ended calls only.
 */
function compareHangs(seed: number): readonly Figure[] {
  const [, deployment] = DEPLOYMENTS;
  if (deployment === undefined) return [];
  const strategies = [Strategy.Production, Strategy.EndedCallsOnly] as const;
  return [0.1, 0.5, 1].flatMap((hangShare) =>
    strategies.map((strategy) => {
      const runs = Array.from({ length: RUNS_PER_CASE }, (_, run) =>
        simulateRollout({
          seed: seed + run,
          deployment,
          fault: { errorShare: 0, hangShare, slowdown: 1, when: "always" },
          trouble: "none",
          totalMs: 120_000,
        }, strategy));
      const seconds = runs.map((one) =>
        (one.exposedMs ?? 0) / 1_000
      );
      const name = `hangs ${hangShare}, ${strategy}: exposed, median`;
      return figure(name, median(seconds), "s");
    })
  );
}

function summarize(
  prefix: string,
  runs: readonly Run[],
  hasTargets: boolean,
): readonly Figure[] {
  const good = runs.filter(({ scenario }) => scenario.fault === undefined);
  const bad = runs.filter(({ scenario }) => scenario.fault !== undefined);
  const phases = (some: readonly Run[], phase: RolloutPhase) =>
    some.filter(({ outcome }) => outcome.phase === phase).length /
    Math.max(1, some.length);
  const inTime = good.filter(({ scenario, outcome }) =>
    outcome.phase === RolloutPhase.Done && outcome.endMs <= scenario.totalMs
  );
  const calls = sum(runs, (one) => one.calls);
  const badCalls = sum(runs, (one) => one.badCalls);
  const stopTimesMs = bad.flatMap(({ outcome }) => outcome.stopMs ?? []);
  const holdTimesMs = bad.flatMap(({ outcome }) => outcome.alarmMs ?? []);
  const holdTimesInLimit = holdTimesMs.filter((ms) => ms <= MAX_STOP_MS);
  const shares = runs.map(({ outcome }) => outcome.firstPerMille / 1_000);
  const createFigure = (
    name: string,
    value: number,
    unit: string,
    target?: Parameters<typeof figure>[3],
  ) =>
    hasTargets
      ? figure(prefix + name, value, unit, target)
      : figure(prefix + name, value, unit);
  return [
    createFigure("rollouts", runs.length, "rollouts", ">= 200"),
    createFigure(
      "bad versions taken back",
      phases(bad, RolloutPhase.RolledBack),
      "of bad",
      "= 1",
    ),
    createFigure(
      "first share, largest",
      Math.max(...shares),
      "of calls",
      "<= 0.02",
    ),
    createFigure("calls served badly", badCalls / calls, "of calls", "< 0.005"),
    createFigure(
      "good versions done in time",
      inTime.length / good.length,
      "of good",
      ">= 0.99",
    ),
    createFigure(
      "false rollbacks",
      phases(good, RolloutPhase.RolledBack),
      "of good",
      "< 0.01",
    ),
    createFigure(
      "first alarm of any node to last call, longest",
      Math.max(0, ...holdTimesMs) / 1_000,
      "s",
      "<= 2",
    ),
    createFigure(
      "first alarm of any node to last call, within 2 s",
      holdTimesInLimit.length / Math.max(1, holdTimesMs.length),
      "of bad",
    ),
    createFigure(
      "first alarm of any node to last call, median",
      median(holdTimesMs) / 1_000,
      "s",
    ),
    createFigure(
      "fleet verdict to last call, longest",
      Math.max(0, ...stopTimesMs) / 1_000,
      "s",
      "<= 2",
    ),
    createFigure(
      "fleet verdict to last call, median",
      median(stopTimesMs) / 1_000,
      "s",
    ),
    createFigure(
      "good version done, median",
      median(good.map(({ outcome }) => outcome.endMs)) / 1_000,
      "s",
    ),
  ];
}

function sum(
  runs: readonly Run[],
  valueOf: (outcome: RolloutOutcome) => number,
): number {
  return runs.reduce((total, { outcome }) => total + valueOf(outcome), 0);
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}
