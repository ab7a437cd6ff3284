/**
 * Runs all phases of the measurement on one deployment.
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
  type RolloutCounts,
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
  /** Time from an edit until the last node has applied it. */
  readonly convergenceMs: { p50: number; p99: number; max: number };
  /** Control traffic per node, idle and while half of the nodes restart. */
  readonly controlBytesPerSecond: { rest: number; storm: number };
  /** Share of good versions whose rollouts completed in time. */
  readonly goodDoneShare: number;
  /** Share of faulty versions that were rolled back. */
  readonly badTakenBackShare: number;
  readonly addedLatencyMs: { p50: number; p99: number };
  readonly lostCalls: number;
  /** Number of idempotency keys that ran more than once. */
  readonly runTwice: number;
  /** Number of times that a node went back to an older version. */
  readonly reverts: number;
  readonly nodeCpuPercent: number;
  readonly nodeRssMb: { resident: number; anonymous: number };
  /** Outcomes of the background calls, without the lost ones. */
  readonly calls: Readonly<Record<string, number>>;
  /** Numbers of lost calls by cause. */
  readonly causes: Readonly<Record<string, number>>;
}

const CALLS_PER_SECOND = 200;
const CALLS_PER_WRITE = 20;
const SETTLE_MS = 1_500;

/** Lengths of the phases in milliseconds, numbers of edits and of rounds. */
const QUICK_PLAN = {
  edits: 12,
  restMs: 2_500,
  rolloutMs: 20_000,
  rounds: 1,
  outageMs: 2_000,
};
const FULL_PLAN = {
  edits: 60,
  restMs: 10_000,
  rolloutMs: 30_000,
  rounds: 3,
  outageMs: 8_000,
};

/** Starts a fleet, measures it, and stops all its processes. */
export async function runDeployment(
  opts: RunDeploymentOptions,
): Promise<DeploymentFigures> {
  const { deployment, onProgress } = opts;
  const report = (sentence: string) =>
    onProgress(`${deployment.name}: ${sentence}`);
  const plan = opts.isQuick ? QUICK_PLAN : FULL_PLAN;
  report("starting the fleet.");
  const fleet = await startFleet({ deployment });
  const upstreams = startUpstreams(fleet);
  let calls: BackgroundCalls | undefined;
  try {
    await publishInitialLists(fleet, upstreams);
    report("measuring the idle fleet.");
    await sleep(SETTLE_MS);
    const rest = await measureControl(fleet, plan.restMs);
    report("measuring the latency against direct calls.");
    const addedLatencyMs = await measureLatency(fleet, upstreams);
    calls = startBackgroundCalls({
      fleet,
      rate: CALLS_PER_SECOND,
      writeEvery: CALLS_PER_WRITE,
    });
    report(`measuring convergence of ${plan.edits} edits.`);
    const times = await measureConvergence(fleet, plan.edits);
    report("rolling out good and faulty versions.");
    const shares = await runRollouts(opts, plan, { fleet, upstreams, calls });
    report("killing and restarting half of the nodes twice.");
    const storm = await measureControl(
      fleet,
      () => restartHalfTwice(fleet, calls),
    );
    report("simulating an outage of the log.");
    await runOutage(fleet, plan.outageMs);
    report("cutting off a failure domain.");
    await cutOffDomain(fleet, plan.outageMs);
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

async function publishInitialLists(fleet: Fleet, upstreams: Upstreams) {
  const { services } = fleet.deployment;
  await Promise.all(services.map((one) => upstreams.start(one.service, "v1")));
  const node = fleet.nodes[0]?.admin ?? "";
  const lists = buildLists(fleet.deployment, new Map());
  const verdict = await publish(node, lists);
  if (verdict.type !== "accepted") throw new Error(JSON.stringify(verdict));
  await waitForVersion(fleet, verdict.offset);
}

interface FleetUnderLoad {
  readonly fleet: Fleet;
  readonly upstreams: Upstreams;
  readonly calls: BackgroundCalls;
}

/** In each round, rolls out one good version and two faulty ones. */
async function runRollouts(
  opts: RunDeploymentOptions,
  plan: typeof QUICK_PLAN,
  running: FleetUnderLoad,
): Promise<RolloutCounts> {
  const services = opts.deployment.services.map((one) => one.service);
  const serving = new Map(services.map((service) => [service, "v1"]));
  const sum = { good: 0, goodDone: 0, bad: 0, badTakenBack: 0 };
  for (let round = 0; round < plan.rounds; round++) {
    const service = (offset: number) =>
      services[(round + offset) % services.length] ?? "";
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

/** Kills half of the nodes at once and restarts them, twice in a row. */
async function restartHalfTwice(
  fleet: Fleet,
  calls: BackgroundCalls | undefined,
) {
  const killedNodes = fleet.nodes.filter((_, index) => index % 2 === 1);
  for (let time = 0; time < 2; time++) {
    if (calls !== undefined) calls.areNodesKilled = true;
    await Promise.all(killedNodes.map((node) => fleet.kill(node)));
    await sleep(500);
    for (const node of killedNodes) fleet.start(node);
    await sleep(SETTLE_MS);
  }
  await waitForVersion(fleet, newestVersion(fleet));
  await sleep(SETTLE_MS);
  if (calls !== undefined) calls.areNodesKilled = false;
}

function newestVersion(fleet: Fleet): number {
  return Math.max(...fleet.applied.map((one) => one.version));
}

async function runOutage(fleet: Fleet, outageMs: number) {
  await fleet.setLogFaults({ isOut: true });
  await sleep(outageMs);
  await fleet.setLogFaults({ isOut: false });
}

/**
 * Cuts off a failure domain and edits in another one. Waits until the edit is
 * applied everywhere after the cut.
 */
async function cutOffDomain(fleet: Fleet, cutMs: number) {
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
