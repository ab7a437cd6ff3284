/**
 * Experiment `cost`: CPU, memory and control traffic of an idle node by the
 * size of the fleet, and CPU for each call by the rate of calls.
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { type Deployment, VELDHUIS } from "../fleet/deployments.ts";
import { startProcess } from "../fleet/start_process.ts";
import { type Fleet, startFleet } from "../fleet/start_fleet.ts";
import { measureControl, measureMemory } from "../measure/control_cost.ts";
import { waitForVersion } from "../measure/convergence.ts";
import { buildLists } from "../measure/build_lists.ts";
import { publish } from "../measure/operator.ts";
import { startUpstreams, type Upstreams } from "../measure/start_upstreams.ts";
import { type ExperimentOptions, type Figure, figure } from "./figure.ts";

/** Numbers of nodes, all in one failure domain. */
const FLEET_SIZES = [4, 8, 16];

/** Calls per second, in total, sent to the smallest fleet. */
const CALL_RATES = [100, 300, 600];

const SETTLE_MS = 3_000;
const IDLE_MS = 5_000;
const LOAD_SECONDS = 5;

/** Measures idle fleets of three sizes, and three rates of calls. */
export async function runCost(
  opts: ExperimentOptions,
): Promise<readonly Figure[]> {
  const figures: Figure[] = [];
  for (const size of FLEET_SIZES) {
    opts.onProgress(`${size} nodes at rest.`);
    const isSmallest = size === FLEET_SIZES[0];
    figures.push(...await measureSize(size, isSmallest ? CALL_RATES : []));
  }
  return figures;
}

function deploymentOf(nodes: number): Deployment {
  const [first] = VELDHUIS.services;
  if (first === undefined) return VELDHUIS;
  return {
    ...VELDHUIS,
    domains: ["nl-west-a"],
    services: [{ ...first, endpoints: nodes }],
  };
}

async function measureSize(
  nodes: number,
  loads: readonly number[],
): Promise<Figure[]> {
  const deployment = deploymentOf(nodes);
  const fleet = await startFleet({ deployment });
  const upstreams = startUpstreams(fleet);
  try {
    const service = deployment.services[0]?.service ?? "";
    await upstreams.start(service, "v1");
    const admin = fleet.nodes[0]?.admin ?? "";
    const verdict = await publish(admin, buildLists(deployment, new Map()));
    if (verdict.type !== "accepted") throw new Error(JSON.stringify(verdict));
    await waitForVersion(fleet, verdict.offset);
    await sleep(SETTLE_MS);
    const idle = await measureControl(fleet, IDLE_MS);
    const memory = await measureMemory(fleet);
    const at = `${nodes} nodes at rest`;
    const figures = [
      figure(`${at}: processor`, idle.cpuPercent, "% of a core", "< 1.4"),
      figure(`${at}: control`, idle.bytesPerSecond, "B/s", "< 1000"),
      figure(`${at}: resident`, memory.resident, "MB", "< 64"),
      figure(`${at}: anonymous`, memory.anonymous, "MB", "< 64"),
    ];
    for (const rate of loads) {
      figures.push(await measureRate(fleet, upstreams, rate, idle.cpuPercent));
    }
    return figures;
  } finally {
    await Promise.all([upstreams.close(), fleet.close()]);
  }
}

/** Measures the CPU time that all nodes together spend on one call. */
async function measureRate(
  fleet: Fleet,
  upstreams: Upstreams,
  rate: number,
  idlePercent: number,
): Promise<Figure> {
  const size = fleet.deployment.services[0];
  if (size === undefined) throw new Error("no service");
  const load = startProcess({
    script: "dist/tools/load.js",
    args: [
      `--nodes=${fleet.nodes.map((node) => node.call).join(",")}`,
      "--customer=measured",
      `--path=/${size.service}${size.read}`,
      `--rate=${rate}`,
      `--seconds=${LOAD_SECONDS}`,
    ],
  });
  const cost = await measureControl(fleet, async () => {
    await load.exited;
  });
  const added = (cost.cpuPercent - idlePercent) * fleet.nodes.length;
  const msPerCall = added * 10 / rate;
  const count = upstreams.endpoints(size.service, "v1").length;
  const name = `${rate} calls a second over ${count} endpoints: processor`;
  return figure(name, msPerCall, "ms for each call");
}
