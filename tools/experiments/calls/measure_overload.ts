/**
 * Measures goodput, latency and retries at twice the capacity of a service.
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { GUILD } from "../../fleet/deployments.ts";
import { runLoadProcess, startCallFleet } from "../../measure/call_fleet.ts";
import { type Figure, figure } from "../figure.ts";

const STARTUP_WAIT_MS = 6_000;
const OVERLOAD_SECONDS = 5;

/** Calls are long, so that the slots of the endpoints limit, not the CPU. */
const OVERLOAD_SERVICE_TIME_MS = 40;

/**
 * Loads one service of the first deployment at 20%, 100% and 200% of its
 * capacity. At 200%, one plan sends 190% and another one 10%.
 */
export async function measureOverload(): Promise<Figure[]> {
  const calls = await startCallFleet({
    deployment: GUILD,
    serviceMs: OVERLOAD_SERVICE_TIME_MS,
  });
  const { nodes } = calls.fleet;
  const endpoints = 4;
  const capacity = endpoints * GUILD.slots * 1_000 / OVERLOAD_SERVICE_TIME_MS;
  const loadService = (share: number, customer = "baker") =>
    runLoadProcess({
      targets: nodes.map((node) => node.call),
      path: "/tracker/parcels",
      rate: capacity * share,
      seconds: OVERLOAD_SECONDS,
      customer,
    });
  try {
    await sleep(STARTUP_WAIT_MS);
    const unloaded = await loadService(0.2);
    const full = await loadService(1);
    const [flood, quiet] = await Promise.all([
      loadService(1.9),
      loadService(0.1, "notary"),
    ]);
    const served = flood.served + quiet.served;
    const p99Ms = Math.max(flood.servedP99Ms, quiet.servedP99Ms);
    const totals = await calls.close();
    const retries = (totals.get("retries") ?? 0) / (totals.get("calls") ?? 1);
    return [
      figure("capacity: goodput", full.served / OVERLOAD_SECONDS, "calls/s"),
      figure("twice: goodput", served / OVERLOAD_SECONDS, "calls/s"),
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
