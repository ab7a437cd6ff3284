/**
 * Starts a fleet with upstreams in separate processes, and runs loads on it.
 * @module
 */
import { publish } from "./operator.ts";
import { type Deployment } from "../fleet/deployments.ts";
import { type Fleet, FLEET_KEY, startFleet } from "../fleet/start_fleet.ts";
import { startProcess } from "../fleet/start_process.ts";
import { parseLists } from "../../src/lists/parse_lists.ts";
import { NO_FAULTS, type UpstreamFaults } from "../fake_upstream.ts";
import { waitFor } from "../wait_for.ts";
import { request } from "undici";
import { startUpstreamHost, type UpstreamHost } from "./start_upstream_host.ts";

const STARTUP_TIMEOUT_MS = 30_000;
const HOST_COUNT = 3;

/** Totals that each node logs when it stops, summed over the fleet. */
export type FleetTotals = Map<string, number>;

export interface CallFleet {
  readonly fleet: Fleet;
  /** Addresses of the endpoints by service. */
  readonly endpoints: ReadonlyMap<string, readonly string[]>;
  /** Replaces the faults of an endpoint. */
  setFaults(endpoint: string, faults: Partial<UpstreamFaults>): Promise<void>;
  /** Stops all processes. Resolves with the sums of the nodes' totals. */
  close(): Promise<FleetTotals>;
}

/** Options of `startCallFleet`. */
export interface StartCallFleetOptions {
  readonly deployment: Deployment;
  /** Run time of a call at an upstream, in milliseconds. */
  readonly serviceMs: number;
}

/** Starts nodes and upstreams, publishes lists and waits for served calls. */
export async function startCallFleet(
  opts: StartCallFleetOptions,
): Promise<CallFleet> {
  const { deployment } = opts;
  const totals: FleetTotals = new Map();
  const fleet = await startFleet({
    deployment,
    onLine: (line) => addTotals(totals, line),
  });
  const processes = Array.from({ length: HOST_COUNT }, startUpstreamHost);
  const hostOf = new Map<string, UpstreamHost>();
  const endpoints = new Map<string, string[]>();
  for (const [index, node] of fleet.nodes.entries()) {
    const host = processes[index % HOST_COUNT];
    if (host === undefined) continue;
    const reply = await host.request({
      type: "start",
      options: {
        host: "127.0.0.1",
        port: 0,
        service: node.service.service,
        version: "v1",
        slots: deployment.slots,
        connections: deployment.connections,
        homes: [node.admin],
        key: FLEET_KEY,
        serviceMs: opts.serviceMs,
        faults: NO_FAULTS,
      },
    });
    if (reply.type !== "endpoint") throw new Error("no endpoint was started");
    hostOf.set(reply.endpoint, host);
    const known = endpoints.get(node.service.service) ?? [];
    endpoints.set(node.service.service, [...known, reply.endpoint]);
  }
  const first = fleet.nodes[0];
  const lists = parseLists({ file: "lists", text: formatLists(deployment) });
  await publish(first?.admin ?? "", lists._unsafeUnwrap());
  await waitFor({
    what: "every node serves every service",
    limitMs: STARTUP_TIMEOUT_MS,
    isTrue: () => servesAll(fleet),
  });
  return {
    fleet,
    endpoints,
    async setFaults(endpoint, faults) {
      await hostOf.get(endpoint)?.request({
        type: "faults",
        endpoint,
        faults: { ...NO_FAULTS, ...faults },
      });
    },
    async close() {
      await fleet.close();
      await Promise.all(processes.map((one) => one.close()));
      return totals;
    },
  };
}

function formatLists(deployment: Deployment): string {
  const uses = ["basic", "gold"].flatMap((plan) =>
    deployment.services.map(({ service, read }) => `
  - plan: ${plan}
    service: ${service}
    version: v1
    routes:
      - { name: read, path: ${read}, methods: [GET], repeatable: true, timeoutMs: 5000 }`)
  );
  return `customers:
  - { customer: baker, plan: basic }
  - { customer: notary, plan: gold }
uses:${uses.join("")}
`;
}

async function servesAll(fleet: Fleet): Promise<boolean> {
  const answers = await Promise.all(
    fleet.nodes.flatMap((node) =>
      fleet.deployment.services.map(async ({ service, read }) => {
        const res = await request(`http://${node.call}/${service}${read}`, {
          headers: { "lagoon-customer": "baker" },
        });
        await res.body.dump();
        return res.statusCode === 200;
      })
    ),
  );
  return answers.every((one) => one);
}

function addTotals(totals: FleetTotals, line: string) {
  const at = line.indexOf("lagoon:totals ");
  if (at < 0) return;
  const text = line.slice(line.indexOf("{", at));
  for (const [name, value] of Object.entries(JSON.parse(text))) {
    totals.set(name, (totals.get(name) ?? 0) + Number(value));
  }
}

/** Figures that the load tool prints; see `LoadReport`. */
export interface LoadFigures {
  readonly sent: number;
  readonly served: number;
  readonly notRun: number;
  readonly failed: number;
  readonly settled: number;
  readonly felt: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly servedP99Ms: number;
}

/** Runs the load tool in a separate process. */
export async function runLoadProcess(opts: {
  readonly targets: readonly string[];
  readonly path: string;
  readonly rate: number;
  readonly seconds: number;
  readonly customer?: string;
  readonly slowMs?: number;
  readonly settleMs?: number;
}): Promise<LoadFigures> {
  const lines: string[] = [];
  const child = startProcess({
    script: "dist/tools/load.js",
    args: [
      `--nodes=${opts.targets.join(",")}`,
      `--customer=${opts.customer ?? "baker"}`,
      `--path=${opts.path}`,
      `--rate=${Math.round(opts.rate)}`,
      `--seconds=${opts.seconds}`,
      `--slow-ms=${opts.slowMs ?? 1_000}`,
      `--settle-ms=${opts.settleMs ?? 0}`,
    ],
    onLine: (line) => lines.push(line),
  });
  await child.exited;
  return JSON.parse(lines.find((line) => line.startsWith("{")) ?? "{}");
}
