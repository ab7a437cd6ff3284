/**
 * Measures the latency that the nodes add to a call: calls through the nodes
 * beside calls that go to the endpoints directly.
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import type { Deployment } from "../../fleet/deployments.ts";
import { type CallFleet, runLoadProcess } from "../../measure/call_fleet.ts";
import { type Figure, figure } from "../figure.ts";
import { readMemory } from "../memory.ts";

/** Rate in the design target: 250,000 calls per second on 6,200 endpoints. */
const CALLS_PER_SECOND_PER_ENDPOINT = 40;

const LOAD_SECONDS = 8;
const WARM_UP_SECONDS = 4;

/** The rate during warm-up is this many times the measured rate. */
const WARM_UP_RATE_FACTOR = 2;

/** Measures calls through all nodes and direct calls at the same time. */
export async function measureLatency(
  calls: CallFleet,
  deployment: Deployment,
): Promise<Figure[]> {
  const { nodes } = calls.fleet;
  const [first] = deployment.services;
  if (first === undefined) return [];
  const direct = calls.endpoints.get(first.service) ?? [];
  const rate = CALLS_PER_SECOND_PER_ENDPOINT * nodes.length;
  const targets = {
    through: {
      targets: nodes.map((node) => node.call),
      path: `/${first.service}${first.read}`,
    },
    direct: { targets: direct, path: first.read },
  };
  // The warm-up lets the JIT compile the code, as in processes that have run
  // for hours.
  const warmUpRate = rate * WARM_UP_RATE_FACTOR;
  await runLoadProcess({
    ...targets.through,
    rate: warmUpRate,
    seconds: WARM_UP_SECONDS,
  });
  const common = { rate, seconds: LOAD_SECONDS };
  const [through, without, memory] = await Promise.all([
    runLoadProcess({ ...targets.through, ...common }),
    runLoadProcess({ ...targets.direct, ...common }),
    sleep(LOAD_SECONDS * 900).then(() => largestMemory(calls)),
  ]);
  const { name } = deployment;
  return [
    figure(`${name}: calls through`, through.sent, "calls"),
    figure(`${name}: not served`, through.sent - through.served, "calls"),
    figure(`${name}: p50 direct`, without.p50Ms, "ms"),
    figure(`${name}: p50 added`, through.p50Ms - without.p50Ms, "ms"),
    figure(`${name}: p99 direct`, without.p99Ms, "ms"),
    figure(`${name}: p99 added`, through.p99Ms - without.p99Ms, "ms", "< 1.3"),
    figure(`${name}: node resident`, memory.resident, "MB", "< 64"),
    figure(`${name}: node anonymous`, memory.anonymous, "MB", "< 64"),
  ];
}

async function largestMemory(calls: CallFleet) {
  const all = await Promise.all(
    calls.fleet.nodes.map((node) => readMemory(node.process.pid)),
  );
  return {
    resident: Math.max(...all.map((one) => one.resident)),
    anonymous: Math.max(...all.map((one) => one.anonymous)),
  };
}
