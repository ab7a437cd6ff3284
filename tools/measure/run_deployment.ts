/**
 * Runs every measured phase on one deployment.
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { ListName } from "../../src/lists/types.ts";
import type { Deployment } from "../fleet/deployments.ts";
import { type Fleet, startFleet } from "../fleet/start_fleet.ts";
import {
  type BackgroundCalls,
  startBackgroundCalls,
} from "./background_calls.ts";
import { measureControl, measureMemory } from "./control_cost.ts";
import {
  countReverts,
  measureConvergence,
  waitForVersion,
} from "./convergence.ts";
import { buildLists } from "./build_lists.ts";
import { measureLatency } from "./measure_latency.ts";
import {
  type MeasuredVersion,
  measureRollouts,
  type RolloutShares,
} from "./measure_rollouts.ts";
import { publish, sendEdit } from "./operator.ts";
import { startUpstreams, type Upstreams } from "./start_upstreams.ts";

/** Options of `runDeployment`. */
export interface RunDeploymentOptions {
  readonly deployment: Deployment;
  readonly isQuick: boolean;
  readonly onProgress: (sentence: string) => void;
}

/** Figures of one deployment. */
export interface DeploymentFigures {
  readonly convergenceMs: { p50: number; p99: number; max: number };
  readonly controlBytesPerSecond: { rest: number; storm: number };
  readonly goodDoneShare: number;
  readonly badTakenBackShare: number;
  readonly addedLatencyMs: { p50: number; p99: number };
  readonly lostCalls: number;
  readonly runTwice: number;
  readonly reverts: number;
  readonly nodeCpuPercent: number;
  readonly nodeRssMb: { resident: number; anonymous: number };
  /** What the calls came to, beyond the stated keys. */
  readonly calls: Readonly<Record<string, number>>;
  /** Causes of lost calls. */
  readonly causes: Readonly<Record<string, number>>;
}

const rate = 200;
const writeEvery = 20;
const settleMs = 1_500;

/** Lengths of the phases, in milliseconds, and numbers of repeats. */
const quickPlan = {
  edits: 12,
  restMs: 2_500,
  rolloutMs: 20_000,
  rounds: 1,
  outageMs: 2_000,
};
const fullPlan = {
  edits: 60,
  restMs: 10_000,
  rolloutMs: 30_000,
  rounds: 3,
  outageMs: 8_000,
};

/** Starts a fleet, measures it, and leaves no process behind. */
export async function runDeployment(
  opts: RunDeploymentOptions,
): Promise<DeploymentFigures> {
  const { deployment, onProgress } = opts;
  const tell = (sentence: string) =>
    onProgress(`${deployment.name}: ${sentence}`);
  const plan = opts.isQuick ? quickPlan : fullPlan;
  tell("starting the fleet.");
  const fleet = await startFleet({ deployment });
  const upstreams = startUpstreams(fleet);
  let calls: BackgroundCalls | undefined;
  try {
    await publishFirst(fleet, upstreams);
    tell("at rest.");
    await sleep(settleMs);
    const rest = await measureControl(fleet, plan.restMs);
    tell("latency beside direct calls.");
    const addedLatencyMs = await measureLatency(fleet, upstreams);
    calls = startBackgroundCalls({ fleet, rate, writeEvery });
    tell(`${plan.edits} edits.`);
    const times = await measureConvergence(fleet, plan.edits);
    tell("rollouts of good and bad versions.");
    const shares = await runRollouts(opts, plan, { fleet, upstreams, calls });
    tell("a herd death and its return.");
    const storm = await measureControl(fleet, () => runHerd(fleet, calls));
    tell("an outage of the log.");
    await runOutage(fleet, plan.outageMs);
    tell("a cut-off failure domain.");
    await runCut(fleet, plan.outageMs);
    const nodeRssMb = await measureMemory(fleet);
    await calls.stop();
    const runTwice = await upstreams.countRunTwice();
    const { lost, ...others } = calls.totals;
    return {
      convergenceMs: percentiles(times),
      controlBytesPerSecond: {
        rest: rest.bytesPerSecond,
        storm: storm.bytesPerSecond,
      },
      goodDoneShare: shares.goodDone / shares.good,
      badTakenBackShare: shares.badTakenBack / shares.bad,
      addedLatencyMs,
      lostCalls: lost,
      runTwice,
      reverts: countReverts(fleet.applied),
      nodeCpuPercent: rest.cpuPercent,
      nodeRssMb,
      calls: { ...others },
      causes: Object.fromEntries(calls.causes),
    };
  } finally {
    await calls?.stop();
    await Promise.all([upstreams.close(), fleet.close()]);
  }
}

async function publishFirst(fleet: Fleet, upstreams: Upstreams) {
  const { services } = fleet.deployment;
  await Promise.all(services.map((one) => upstreams.start(one.service, "v1")));
  const node = fleet.nodes[0]?.admin ?? "";
  const lists = buildLists(fleet.deployment, new Map());
  const verdict = await publish(node, lists);
  if (verdict.type !== "accepted") throw new Error(JSON.stringify(verdict));
  await waitForVersion(fleet, verdict.offset);
}

interface Running {
  readonly fleet: Fleet;
  readonly upstreams: Upstreams;
  readonly calls: BackgroundCalls;
}

/** Each round moves one service to a good version and two to bad ones. */
async function runRollouts(
  opts: RunDeploymentOptions,
  plan: typeof quickPlan,
  running: Running,
): Promise<RolloutShares> {
  const services = opts.deployment.services.map((one) => one.service);
  const serving = new Map(services.map((service) => [service, "v1"]));
  const sum = { good: 0, goodDone: 0, bad: 0, badTakenBack: 0 };
  for (let round = 0; round < plan.rounds; round++) {
    const service = (turn: number) =>
      services[(round + turn) % services.length] ?? "";
    const versions: MeasuredVersion[] = [
      { service: service(0), version: `good-${round}` },
      {
        service: service(1),
        version: `failing-${round}`,
        faults: { errorShare: 0.3 },
      },
      {
        service: service(2),
        version: `slow-${round}`,
        faults: { delayMs: 200 },
      },
    ];
    const shares = await measureRollouts({
      ...running,
      versions,
      serving,
      withinMs: plan.rolloutMs,
    });
    sum.good += shares.good;
    sum.goodDone += shares.goodDone;
    sum.bad += shares.bad;
    sum.badTakenBack += shares.badTakenBack;
  }
  return sum;
}

/** Kills half of the nodes at once, twice in a row. */
async function runHerd(fleet: Fleet, calls: BackgroundCalls | undefined) {
  const herd = fleet.nodes.filter((_, index) => index % 2 === 1);
  for (let time = 0; time < 2; time++) {
    if (calls !== undefined) calls.isHerd = true;
    await Promise.all(herd.map((node) => fleet.kill(node)));
    await sleep(500);
    for (const node of herd) fleet.start(node);
    await sleep(settleMs);
  }
  await waitForVersion(fleet, newestVersion(fleet));
  await sleep(settleMs);
  if (calls !== undefined) calls.isHerd = false;
}

function newestVersion(fleet: Fleet): number {
  return Math.max(...fleet.applied.map((one) => one.version));
}

async function runOutage(fleet: Fleet, outageMs: number) {
  await fleet.setLogFaults({ isOut: true });
  await sleep(outageMs);
  await fleet.setLogFaults({ isOut: false });
}

/** An edit elsewhere reaches the domain once it is no longer cut off. */
async function runCut(fleet: Fleet, cutMs: number) {
  const [first, second] = fleet.deployment.domains;
  if (first === undefined || second === undefined) return;
  fleet.cutOff([first]);
  await sleep(cutMs);
  const node = fleet.nodes.find((one) => one.domain === second)?.admin ?? "";
  const customer = "during-cut";
  const verdict = await sendEdit(node, [{
    list: ListName.Customers,
    key: customer,
    expected: 0,
    value: { customer, plan: "basic" },
  }]);
  fleet.cutOff([]);
  if (verdict.type === "accepted") await waitForVersion(fleet, verdict.offset);
}

function percentiles(times: readonly number[]) {
  const sorted = [...times].sort((a, b) => a - b);
  const at = (share: number) =>
    sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))] ?? 0;
  return { p50: at(0.5), p99: at(0.99), max: at(1) };
}
