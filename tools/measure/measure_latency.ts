/**
 * Measures the latency that the fleet adds to a call, against direct calls to
 * the endpoints.
 * @module
 */
import { startProcess } from "../fleet/start_process.ts";
import type { Fleet } from "../fleet/start_fleet.ts";
import type { Upstreams } from "./start_upstreams.ts";

const CALLS_PER_SECOND = "200";
const DURATION_SECONDS = "3";

interface LoadSummary {
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly failed: number;
  readonly notRun: number;
}

/** Runs both loads at the same time, each in a separate process. */
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
): Promise<LoadSummary> {
  let lastLine = "";
  const load = startProcess({
    script: "dist/tools/load.js",
    args: [
      `--nodes=${nodes.join(",")}`,
      "--customer=measured",
      `--path=${path}`,
      `--rate=${CALLS_PER_SECOND}`,
      `--seconds=${DURATION_SECONDS}`,
    ],
    onLine: (line) => lastLine = line,
  });
  await load.exited;
  return JSON.parse(lastLine) as LoadSummary;
}
