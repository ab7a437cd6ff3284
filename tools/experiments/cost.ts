/**
 * Slopes of a node's cost: at rest by fleet size, and under calls by rate.
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

/** Nodes of one failure domain. */
const sizes = [4, 8, 16];

/** Calls a second over the whole fleet of the smallest size. */
const rates = [100, 300, 600];

const settleMs = 3_000;
const restMs = 5_000;
const loadSeconds = 5;

/** Measures nodes at rest at three sizes, and under three rates of calls. */
export async function runCost(
  opts: ExperimentOptions,
): Promise<readonly Figure[]> {
  const figures: Figure[] = [];
  for (const size of sizes) {
    opts.onProgress(`${size} nodes at rest.`);
    const isSmallest = size === sizes[0];
    figures.push(...await measureSize(size, isSmallest ? rates : []));
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
    await sleep(settleMs);
    const rest = await measureControl(fleet, restMs);
    const memory = await measureMemory(fleet);
    const at = `${nodes} nodes at rest`;
    const figures = [
      figure(`${at}: processor`, rest.cpuPercent, "% of a core", "< 1.4"),
      figure(`${at}: control`, rest.bytesPerSecond, "B/s", "< 1000"),
      figure(`${at}: resident`, memory.resident, "MB", "< 64"),
      figure(`${at}: anonymous`, memory.anonymous, "MB", "< 64"),
    ];
    for (const rate of loads) {
      figures.push(await measureRate(fleet, upstreams, rate, rest.cpuPercent));
    }
    return figures;
  } finally {
    await Promise.all([upstreams.close(), fleet.close()]);
  }
}

/** Processor time of all nodes together for one call. */
async function measureRate(
  fleet: Fleet,
  upstreams: Upstreams,
  rate: number,
  restPercent: number,
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
      `--seconds=${loadSeconds}`,
    ],
  });
  const cost = await measureControl(fleet, async () => {
    await load.exited;
  });
  const added = (cost.cpuPercent - restPercent) * fleet.nodes.length;
  const msPerCall = added * 10 / rate;
  const count = upstreams.endpoints(size.service, "v1").length;
  const name = `${rate} calls a second over ${count} endpoints: processor`;
  return figure(name, msPerCall, "ms for each call");
}
