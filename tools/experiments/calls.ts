/**
 * What lagoonlock adds to a call, and what calls feel of overload and hangs.
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { type Deployment, guild, veldhuis } from "../fleet/deployments.ts";
import {
  type CallFleet,
  loadApart,
  startCallFleet,
} from "../measure/call_fleet.ts";
import { type ExperimentOptions, type Figure, figure } from "./figure.ts";
import { readMemory } from "./memory.ts";

/** 250,000 calls a second on 6,200 endpoints. */
const callsPerEndpoint = 40;

const rampMs = 6_000;
const loadSeconds = 8;
const overloadSeconds = 5;
const serviceMs = 2;

/** Long calls, so that the load and not the processor is the limit. */
const overloadServiceMs = 40;

/** Measures both deployments, then overload and a hang on the first. */
export async function runCalls(
  opts: ExperimentOptions,
): Promise<readonly Figure[]> {
  const figures: Figure[] = [];
  for (const deployment of [guild, veldhuis]) {
    opts.onProgress(`Starting ${deployment.name}.`);
    const calls = await startCallFleet({ deployment, serviceMs });
    try {
      await sleep(rampMs);
      figures.push(...await measureLatency(calls, deployment));
      if (deployment === guild) figures.push(...await measureHang(calls));
    } finally {
      await calls.close();
    }
  }
  opts.onProgress("Starting guild for overload.");
  figures.push(...await measureOverload());
  return figures;
}

async function measureLatency(
  calls: CallFleet,
  deployment: Deployment,
): Promise<Figure[]> {
  const { nodes } = calls.fleet;
  const [first] = deployment.services;
  if (first === undefined) return [];
  const direct = calls.endpoints.get(first.service) ?? [];
  const rate = callsPerEndpoint * nodes.length;
  const common = { rate, seconds: loadSeconds };
  const [through, without, memory] = await Promise.all([
    loadApart({
      ...common,
      targets: nodes.map((node) => node.call),
      path: `/${first.service}${first.read}`,
    }),
    loadApart({ ...common, targets: direct, path: first.read }),
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

/** One of four endpoints stops answering under load. */
async function measureHang(calls: CallFleet): Promise<Figure[]> {
  const [hung] = calls.endpoints.get("tracker") ?? [];
  const load = loadApart({
    targets: calls.fleet.nodes.map((node) => node.call),
    path: "/tracker/parcels",
    rate: 480,
    seconds: 10,
    slowMs: 100,
    settleMs: 3_000,
  });
  await sleep(2_000);
  await calls.setFaults(hung ?? "", { hangShare: 1 });
  const report = await load;
  await calls.setFaults(hung ?? "", {});
  const share = report.felt / report.settled;
  return [
    figure("hang: calls after its first second", report.settled, "calls"),
    figure("hang: failed or over 100 ms", share, "of calls", "< 0.01"),
    figure("hang: failed", report.failed + report.notRun, "calls"),
  ];
}

async function measureOverload(): Promise<Figure[]> {
  const calls = await startCallFleet({
    deployment: guild,
    serviceMs: overloadServiceMs,
  });
  const { nodes } = calls.fleet;
  const endpoints = 4;
  const capacity = endpoints * guild.slots * 1_000 / overloadServiceMs;
  const run = (share: number, customer = "baker") =>
    loadApart({
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
