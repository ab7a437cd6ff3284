/**
 * What lagoonlock adds to a call, and what calls feel of overload and hangs.
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

const rampMs = 6_000;
const serviceMs = 2;

/** Measures both deployments, then overload and a hang on the first. */
export async function runCalls(
  opts: ExperimentOptions,
): Promise<readonly Figure[]> {
  const figures: Figure[] = [];
  const before = await readProcessorTicks();
  for (const deployment of [GUILD, VELDHUIS]) {
    opts.onProgress(`Starting ${deployment.name}.`);
    const calls = await startCallFleet({ deployment, serviceMs });
    try {
      await sleep(rampMs);
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
