/**
 * What lagoonlock adds to a call, beside the same calls without it.
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import type { Deployment } from "../../fleet/deployments.ts";
import { type CallFleet, runLoadProcess } from "../../measure/call_fleet.ts";
import { type Figure, figure } from "../figure.ts";
import { readMemory } from "../memory.ts";

/** 250,000 calls a second on 6,200 endpoints. */
const callsPerEndpoint = 40;

const loadSeconds = 8;
const warmSeconds = 4;

/** Calls before the measurement are this much denser. */
const warmFactor = 2;

/** Measures calls through all nodes, side by side with direct ones. */
export async function measureLatency(
  calls: CallFleet,
  deployment: Deployment,
): Promise<Figure[]> {
  const { nodes } = calls.fleet;
  const [first] = deployment.services;
  if (first === undefined) return [];
  const direct = calls.endpoints.get(first.service) ?? [];
  const rate = callsPerEndpoint * nodes.length;
  const targets = {
    through: {
      targets: nodes.map((node) => node.call),
      path: `/${first.service}${first.read}`,
    },
    direct: { targets: direct, path: first.read },
  };
  // Processes that have run for hours have their code compiled.
  const rateToWarm = rate * warmFactor;
  await runLoadProcess({
    ...targets.through,
    rate: rateToWarm,
    seconds: warmSeconds,
  });
  const common = { rate, seconds: loadSeconds };
  const [through, without, memory] = await Promise.all([
    runLoadProcess({ ...targets.through, ...common }),
    runLoadProcess({ ...targets.direct, ...common }),
    sleep(loadSeconds * 900).then(() => largestMemory(calls)),
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
