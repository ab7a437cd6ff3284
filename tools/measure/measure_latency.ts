/**
 * Latency that the fleet adds to a call, beside the same calls made directly.
 * @module
 */
import { startProcess } from "../fleet/start_process.ts";
import type { Fleet } from "../fleet/start_fleet.ts";
import type { Upstreams } from "./start_upstreams.ts";

const rate = "200";
const seconds = "3";

interface LoadTold {
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly failed: number;
  readonly notRun: number;
}

/** Runs both loads at the same time, each from its own process. */
export async function measureLatency(
  fleet: Fleet,
  upstreams: Upstreams,
): Promise<{ p50: number; p99: number }> {
  const size = fleet.deployment.services[0];
  if (size === undefined) return { p50: 0, p99: 0 };
  const path = `/${size.service}${size.read}`;
  const direct = upstreams.endpoints(size.service, "v1");
  const nodes = fleet.nodes.map((node) => node.call);
  const [without, withNodes] = await Promise.all([
    runLoadProcess(direct, path),
    runLoadProcess(nodes, path),
  ]);
  return {
    p50: withNodes.p50Ms - without.p50Ms,
    p99: withNodes.p99Ms - without.p99Ms,
  };
}

async function runLoadProcess(
  nodes: readonly string[],
  path: string,
): Promise<LoadTold> {
  let told = "";
  const load = startProcess({
    script: "dist/tools/load.js",
    args: [
      `--nodes=${nodes.join(",")}`,
      "--customer=measured",
      `--path=${path}`,
      `--rate=${rate}`,
      `--seconds=${seconds}`,
    ],
    onLine: (line) => told = line,
  });
  await load.exited;
  return JSON.parse(told) as LoadTold;
}
