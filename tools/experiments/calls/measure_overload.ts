/**
 * Goodput, latency and retries at twice the capacity.
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { GUILD } from "../../fleet/deployments.ts";
import { runLoadProcess, startCallFleet } from "../../measure/call_fleet.ts";
import { type Figure, figure } from "../figure.ts";

const rampMs = 6_000;
const overloadSeconds = 5;

/** Long calls, so that the load and not the processor is the limit. */
const overloadServiceMs = 40;

/** Loads one service of the first deployment up to twice its capacity. */
export async function measureOverload(): Promise<Figure[]> {
  const calls = await startCallFleet({
    deployment: GUILD,
    serviceMs: overloadServiceMs,
  });
  const { nodes } = calls.fleet;
  const endpoints = 4;
  const capacity = endpoints * GUILD.slots * 1_000 / overloadServiceMs;
  const run = (share: number, customer = "baker") =>
    runLoadProcess({
      targets: nodes.map((node) => node.call),
      path: "/tracker/parcels",
      rate: capacity * share,
      seconds: overloadSeconds,
      customer,
    });
  try {
    await sleep(rampMs);
    const unloaded = await run(0.2);
    const full = await run(1);
    const [flood, quiet] = await Promise.all([run(1.9), run(0.1, "notary")]);
    const served = flood.served + quiet.served;
    const p99Ms = Math.max(flood.servedP99Ms, quiet.servedP99Ms);
    const totals = await calls.close();
    const retries = (totals.get("retries") ?? 0) / (totals.get("calls") ?? 1);
    return [
      figure("capacity: goodput", full.served / overloadSeconds, "calls/s"),
      figure("twice: goodput", served / overloadSeconds, "calls/s"),
      figure("twice: goodput", served / full.served, "of full", ">= 0.9"),
      figure("unloaded: p99", unloaded.servedP99Ms, "ms"),
      figure(
        "twice: p99 of served",
        p99Ms / unloaded.servedP99Ms,
        "x unloaded",
        "<= 2",
      ),
      figure("twice: quiet plan", quiet.served / quiet.sent, "served"),
      figure("twice: flooding plan", flood.served / flood.sent, "served"),
      figure("twice: broken", flood.failed + quiet.failed, "calls"),
      figure("storm: retries", retries, "of calls", "< 0.1"),
    ];
  } finally {
    await calls.close();
  }
}
