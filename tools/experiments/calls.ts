/**
 * Experiment `calls`: latency that the nodes add to a call, and calls that
 * fail or are slow under overload and when an endpoint hangs.
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { GUILD, VELDHUIS } from "../fleet/deployments.ts";
import { startCallFleet } from "../measure/call_fleet.ts";
import { readProcessorTicks } from "../measure/processor_use.ts";
import { measureHang } from "./calls/measure_hang.ts";
import { measureLatency } from "./calls/measure_latency.ts";
import { measureOverload } from "./calls/measure_overload.ts";
import { type ExperimentOptions, type Figure, figure } from "./figure.ts";

const STARTUP_WAIT_MS = 6_000;
const SERVICE_TIME_MS = 2;

/**
 * Measures the latency in both deployments, and a hang and overload in the
 * first.
 */
export async function runCalls(
  opts: ExperimentOptions,
): Promise<readonly Figure[]> {
  const figures: Figure[] = [];
  const before = await readProcessorTicks();
  for (const deployment of [GUILD, VELDHUIS]) {
    opts.onProgress(`Starting ${deployment.name}.`);
    const calls = await startCallFleet({
      deployment,
      serviceMs: SERVICE_TIME_MS,
    });
    try {
      await sleep(STARTUP_WAIT_MS);
      figures.push(...await measureLatency(calls, deployment));
      if (deployment === GUILD) figures.push(...await measureHang(calls));
    } finally {
      await calls.close();
    }
  }
  opts.onProgress("Starting guild for overload.");
  figures.push(...await measureOverload());
  const after = await readProcessorTicks();
  const share = (one: "idle" | "stolen") =>
    (after[one] - before[one]) / (after.all - before.all);
  return [
    ...figures,
    figure("machine: processor idle", share("idle"), "of time"),
    figure("machine: processor stolen", share("stolen"), "of time"),
  ];
}
