/**
 * Seeded rollouts of good and bad versions on the real decisions.
 * @module
 */
import { RolloutPhase } from "../../src/config_log/state.ts";
import { type ExperimentOptions, type Figure, figure } from "./figure.ts";
import { createRandom } from "./rollouts_random.ts";
import {
  deployments,
  drawScenarios,
  type Fault,
  type Scenario,
} from "./rollouts_scenarios.ts";
import { compareTests } from "./rollouts_tests.ts";
import { type RolloutOutcome, runRollout, Strategy } from "./rollouts_world.ts";

const rolloutCount = 240;
const curveRuns = 8;
/** Longest time asked from a fault's evidence to the last call. */
const maxStopMs = 2_000;

interface Run {
  readonly scenario: Scenario;
  readonly outcome: RolloutOutcome;
}

/** Runs the mix with both strategies. */
export function runRollouts(
  opts: ExperimentOptions,
): Promise<readonly Figure[]> {
  const scenarios = drawScenarios(createRandom(opts.seed), rolloutCount);
  const run = (strategy: Strategy) =>
    scenarios.map((scenario) => ({
      scenario,
      outcome: runRollout(scenario, strategy),
    }));
  opts.onProgress(`Running ${rolloutCount} rollouts on the real decisions.`);
  const real = run(Strategy.Real);
  for (const { scenario, outcome } of real) {
    const isBad = scenario.fault !== undefined;
    const isRight = outcome.phase ===
      (isBad ? RolloutPhase.RolledBack : RolloutPhase.Done);
    const stopMs = Math.max(outcome.stopMs ?? 0, outcome.alarmMs ?? 0);
    if (!isRight || (isBad && stopMs > maxStopMs)) {
      opts.onProgress(`Wrong: ${JSON.stringify({ ...scenario, ...outcome })}`);
    }
  }
  opts.onProgress(`Running the same rollouts on the plain baseline.`);
  const baseline = run(Strategy.Baseline);
  return Promise.resolve([
    ...summarize("", real, true),
    ...summarize("baseline: ", baseline, false),
    ...curve(opts.seed),
    ...compareHangs(opts.seed),
    ...compareTests(opts.seed),
  ]);
}

/** Share of versions taken back by the size of their errors and hangs. */
function curve(seed: number): readonly Figure[] {
  const [, deployment] = deployments;
  if (deployment === undefined) return [];
  const none = { errorShare: 0, hangShare: 0, slowdown: 1, when: "always" };
  const cases = [
    ...[0.02, 0.05, 0.1].map((errorShare) => ({ errorShare })),
    ...[1.5, 2, 4].map((slowdown) => ({ slowdown })),
    ...[0.02, 0.1].map((hangShare) => ({ hangShare })),
  ];
  return cases.map((fault, index) => {
    const runs = Array.from({ length: curveRuns }, (_, run) =>
      runRollout({
        seed: seed + 100 * index + run,
        deployment,
        fault: { ...none, ...fault } as Fault,
        trouble: "none",
        totalMs: 120_000,
      }, Strategy.Real));
    const back = runs.filter((one) => one.phase === RolloutPhase.RolledBack);
    const name = `curve ${JSON.stringify(fault)}: taken back`;
    return figure(name, back.length / curveRuns, "of versions");
  });
}

/** Time from the first hung call to the last new one, in two ways. */
function compareHangs(seed: number): readonly Figure[] {
  const [, deployment] = deployments;
  if (deployment === undefined) return [];
  const ways = [Strategy.Real, Strategy.EndedCallsOnly] as const;
  return [0.1, 0.5, 1].flatMap((hangShare) =>
    ways.map((strategy) => {
      const runs = Array.from({ length: curveRuns }, (_, run) =>
        runRollout({
          seed: seed + run,
          deployment,
          fault: { errorShare: 0, hangShare, slowdown: 1, when: "always" },
          trouble: "none",
          totalMs: 120_000,
        }, strategy));
      const seconds = runs.map((one) => (one.exposedMs ?? 0) / 1_000);
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
  const stops = bad.flatMap(({ outcome }) => outcome.stopMs ?? []);
  const alarms = bad.flatMap(({ outcome }) => outcome.alarmMs ?? []);
  const alarmed = alarms.filter((ms) => ms <= maxStopMs);
  const shares = runs.map(({ outcome }) => outcome.firstPerMille / 1_000);
  const make = (
    name: string,
    value: number,
    unit: string,
    target?: Parameters<typeof figure>[3],
  ) =>
    hasTargets
      ? figure(prefix + name, value, unit, target)
      : figure(prefix + name, value, unit);
  return [
    make("rollouts", runs.length, "rollouts", ">= 200"),
    make(
      "bad versions taken back",
      phases(bad, RolloutPhase.RolledBack),
      "of bad",
      "= 1",
    ),
    make("first share, largest", Math.max(...shares), "of calls", "<= 0.02"),
    make("calls served badly", badCalls / calls, "of calls", "< 0.005"),
    make(
      "good versions done in time",
      inTime.length / good.length,
      "of good",
      ">= 0.99",
    ),
    make(
      "false rollbacks",
      phases(good, RolloutPhase.RolledBack),
      "of good",
      "< 0.01",
    ),
    make(
      "first alarm of any node to last call, longest",
      Math.max(0, ...alarms) / 1_000,
      "s",
      "<= 2",
    ),
    make(
      "first alarm of any node to last call, within 2 s",
      alarmed.length / Math.max(1, alarms.length),
      "of bad",
    ),
    make(
      "first alarm of any node to last call, median",
      median(alarms) / 1_000,
      "s",
    ),
    make(
      "fleet verdict to last call, longest",
      Math.max(0, ...stops) / 1_000,
      "s",
      "<= 2",
    ),
    make("fleet verdict to last call, median", median(stops) / 1_000, "s"),
    make(
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
