/**
 * Experiment `sidecars`: CPU, messages and memory of a sidecar node by the size
 * of its fleet.
 *
 * Fleets of two sizes run at the same time and at the same load per node, so
 * that other work on the machine affects both alike.
 * @module
 */
import { spawnSync } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { request } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import {
  createFakeEndpoint,
  type FakeEndpoint,
} from "../../platform/testing/create_fake_endpoint.ts";
import {
  createFakeStore,
  type FakeStore,
} from "../../platform/testing/create_fake_store.ts";
import {
  configOf,
  TEST_HOST,
} from "../../platform/testing/operator_documents.ts";
import { SETTINGS_VARIABLE } from "../../platform/read_sidecar_settings.ts";
import { type StartedProcess, startProcess } from "../fleet/start_process.ts";
import { type ExperimentOptions, type Figure, figure } from "./figure.ts";

const FLEET_SIZES = [12, 80];
const DOMAIN_COUNT = 4;
const SERVICES = ["one", "two", "three"];

/** Requests per second that enter the fleet at each node. */
const REQUESTS_PER_SECOND = 4;
const SETTLE_MS = 5_000;
const START_LIMIT_MS = 90_000;
const MEASURED_MS = 15_000;
const RESTART_MS = 6_000;
const CONFIG_CHANGE_INTERVAL_MS = 1_000;
const PING_INTERVAL_MS = 1_500;
const IDLE_ROUTE_COUNT = 300;

const BYTES_PER_MB = 1_048_576;

interface Node {
  readonly ip: string;
  readonly endpoint: FakeEndpoint;
  process: StartedProcess;
}

interface Fleet {
  readonly store: FakeStore;
  readonly nodes: readonly Node[];
  close(): Promise<void>;
}

/** Means over the nodes of a fleet, by metric and labels. */
type MetricMeans = ReadonlyMap<string, number>;

/** Measures both fleets under load, and while half of each restarts. */
export async function runSidecars(
  opts: ExperimentOptions,
): Promise<readonly Figure[]> {
  spawnSync("sh", ["tools/bundle.sh"], { stdio: "inherit" });
  const folder = mkdtempSync(join(tmpdir(), "lagoon-sidecars-"));
  const fleets: Fleet[] = [];
  try {
    for (const [index, size] of FLEET_SIZES.entries()) {
      opts.onProgress(`Starting ${size} nodes.`);
      fleets.push(await startFleet(folder, index, size));
    }
    const pings = startPings(fleets);
    await Promise.all(fleets.map((fleet) => waitUntilLinked(fleet, opts)));
    const load = startLoad(fleets);
    await sleep(SETTLE_MS);
    opts.onProgress("Measuring under load.");
    const before = await Promise.all(fleets.map(readFleet));
    await sleep(MEASURED_MS);
    const after = await Promise.all(fleets.map(readFleet));
    opts.onProgress("Restarting half of each fleet.");
    for (const fleet of fleets) restartHalf(folder, fleet);
    await sleep(RESTART_MS);
    const restarted = await Promise.all(fleets.map(readSurvivors));
    load.close();
    pings.close();
    return fleets.flatMap((fleet, index) =>
      createFleetFigures(fleet, before[index], after[index], restarted[index])
    );
  } finally {
    await Promise.all(fleets.map((fleet) => fleet.close()));
    rmSync(folder, { recursive: true });
  }
}

async function startFleet(
  folder: string,
  index: number,
  size: number,
): Promise<Fleet> {
  const store = await createFakeStore();
  store.put("keyed.op", "config", tableOf(1));
  const nodes = await Promise.all(
    Array.from({ length: size }, async (_, at): Promise<Node> => {
      const ip = `127.1.${index}.${at + 1}`;
      const service = serviceOf(at);
      const endpoint = await createFakeEndpoint({
        id: `i-${index}-${at}`,
        service,
      });
      const path = join(folder, `${ip}.json`);
      const settings = settingsOf(ip, at, endpoint.address, store.address);
      writeFileSync(path, JSON.stringify(settings));
      return { ip, endpoint, process: startNode(folder, ip) };
    }),
  );
  return {
    store,
    nodes,
    async close() {
      for (const node of nodes) node.process.signal("SIGKILL");
      await Promise.all(nodes.map((node) => node.process.exited));
      await Promise.all(nodes.map((node) => node.endpoint.close()));
      await store.close();
    },
  };
}

function startNode(folder: string, ip: string): StartedProcess {
  return startProcess({
    script: "target/lagoon_sidecar.mjs",
    args: [],
    env: { [SETTINGS_VARIABLE]: join(folder, `${ip}.json`) },
  });
}

function settingsOf(ip: string, at: number, endpoint: string, store: string) {
  return {
    self: {
      ip,
      zone: `d${at % DOMAIN_COUNT}`,
      appAddr: endpoint,
      service: serviceOf(at),
    },
    network: {
      bindAddrs: {
        inbound: `${ip}:17001`,
        outbound: `${ip}:17002`,
        ready: `${ip}:17003`,
        control: `${ip}:17003`,
      },
      internalPortRange: [17_010, 17_015],
    },
    platform: { platform: { address: store } },
    terms: {
      bounds: {
        graceS: 1,
        retryBudgetRatio: 0.2,
        retrySlack: 100,
        budgetWindowS: 10,
        exposeShare: 0.1,
        exposeSlack: 50,
      },
    },
  };
}

function serviceOf(at: number): string {
  return SERVICES[Math.floor(at / DOMAIN_COUNT) % SERVICES.length] ?? "one";
}

function tableOf(version: number) {
  const rules = SERVICES.map((service) => ({
    prefix: `/${service}/`,
    service,
  }));
  const idle = Array.from({ length: IDLE_ROUTE_COUNT }, (_, at) => ({
    prefix: `/idle-${at}/`,
    service: "one",
  }));
  return configOf(version, [...rules, ...idle]);
}

function startPings(fleets: readonly Fleet[]) {
  const timers = fleets.flatMap(({ nodes }) => nodes).map((node) => {
    const { ip, endpoint } = node;
    // A restarting node is unreachable; the next ping reaches it.
    const ping = () => void endpoint.ping(`${ip}:17003`).catch(() => {});
    ping();
    return setInterval(ping, PING_INTERVAL_MS);
  });
  return { close: () => timers.forEach((timer) => clearInterval(timer)) };
}

/** Sends requests to each node, and changes the configuration each second. */
function startLoad(fleets: readonly Fleet[]) {
  const timers: NodeJS.Timeout[] = [];
  let calls = 0;
  let version = 1;
  for (const { ip } of fleets.flatMap(({ nodes }) => nodes)) {
    timers.push(setInterval(() => {
      calls++;
      const path = `/${SERVICES[calls % SERVICES.length]}/x`;
      sendRequest(ip, path, `r-${calls}`);
    }, 1_000 / REQUESTS_PER_SECOND));
  }
  timers.push(setInterval(() => {
    version++;
    for (const { store } of fleets) {
      store.put("keyed.op", "config", tableOf(version));
    }
  }, CONFIG_CHANGE_INTERVAL_MS));
  return { close: () => timers.forEach((timer) => clearInterval(timer)) };
}

function sendRequest(ip: string, path: string, id: string) {
  const req = request(`http://${ip}:17002${path}`, {
    headers: { host: TEST_HOST, "x-request-id": id, "x-deadline-ms": "2000" },
  }, (res) => res.resume());
  // Failures are counted by the node's own metrics.
  req.on("error", () => {});
  req.end();
}

function restartHalf(folder: string, { nodes }: Fleet) {
  for (const [at, node] of nodes.entries()) {
    if (isSurvivor(at)) continue;
    const { process } = node;
    process.signal("SIGKILL");
    void process.exited.then(() => node.process = startNode(folder, node.ip));
  }
}

function isSurvivor(at: number): boolean {
  return Math.floor(at / DOMAIN_COUNT) % 2 === 0;
}

/** Waits until each node can send calls to all endpoints. */
async function waitUntilLinked(fleet: Fleet, opts: ExperimentOptions) {
  const size = fleet.nodes.length;
  const deadlineAt = performance.now() + START_LIMIT_MS;
  while (performance.now() < deadlineAt) {
    await sleep(1_000);
    // Nodes that have not started yet return no metrics.
    const reading = await readFleet(fleet).catch((): MetricMeans => new Map());
    let endpoints = 0;
    for (const [name, value] of reading) {
      if (name.startsWith("lagoon_ready_endpoints{")) endpoints += value;
    }
    if (Math.round(endpoints) === size) return;
    opts.onProgress(
      `Each of ${size} nodes sees ${
        endpoints.toFixed(1)
      } endpoints on average.`,
    );
  }
  throw new Error(
    `timed out: not every one of ${size} nodes sees all endpoints`,
  );
}

function readFleet({ nodes }: Fleet): Promise<MetricMeans> {
  return readNodes(nodes);
}

function readSurvivors({ nodes }: Fleet): Promise<MetricMeans> {
  return readNodes(nodes.filter((_, at) => isSurvivor(at)));
}

/** Reads the metrics of nodes and returns their means. */
async function readNodes(nodes: readonly Node[]): Promise<MetricMeans> {
  const means = new Map<string, number>();
  const texts = await Promise.all(nodes.map(async ({ ip }) => {
    const res = await fetch(`http://${ip}:17015/metrics`);
    return await res.text();
  }));
  for (const text of texts) {
    for (const line of text.split("\n")) {
      const at = line.lastIndexOf(" ");
      if (line.startsWith("#") || at < 0) continue;
      const name = line.slice(0, at);
      const value = Number(line.slice(at + 1)) / nodes.length;
      means.set(name, (means.get(name) ?? 0) + value);
    }
  }
  return means;
}

const RATE_METRICS = [
  { metric: "lagoon_processor_seconds_total", unit: "ms/s", times: 1_000 },
  { metric: "lagoon_link_messages_total", unit: "/s", times: 1 },
  { metric: "lagoon_link_bytes_total", unit: "B/s", times: 1 },
  { metric: "lagoon_link_seconds_total", unit: "ms/s", times: 1_000 },
  { metric: "lagoon_work_seconds_total", unit: "ms/s", times: 1_000 },
  { metric: "lagoon_store_calls_total", unit: "/s", times: 1 },
  { metric: "lagoon_call_duration_seconds_count", unit: "/s", times: 1 },
];

function createFleetFigures(
  { nodes }: Fleet,
  before: MetricMeans = new Map(),
  after: MetricMeans = new Map(),
  restarted: MetricMeans = new Map(),
): Figure[] {
  const memory = (after.get("lagoon_resident_bytes") ?? 0) / BYTES_PER_MB;
  return [
    ...createRateFigures(`${nodes.length} nodes`, MEASURED_MS, before, after),
    figure(`${nodes.length} nodes: memory`, memory, "MB"),
    ...createRateFigures(
      `${nodes.length}, half restarts`,
      RESTART_MS,
      after,
      restarted,
    )
      .filter(({ name }) => /processor|messages_total$/.test(name)),
  ];
}

/** Returns the rate per node of each metric, in total and by label. */
function createRateFigures(
  where: string,
  ms: number,
  before: MetricMeans,
  after: MetricMeans,
): Figure[] {
  return RATE_METRICS.flatMap(({ metric, unit, times }) => {
    let sum = 0;
    const parts: Figure[] = [];
    for (const [name, value] of after) {
      if (name !== metric && !name.startsWith(`${metric}{`)) continue;
      const rise = (value - (before.get(name) ?? 0)) * times * 1_000 / ms;
      sum += rise;
      if (name !== metric) parts.push(figure(`${where}: ${name}`, rise, unit));
    }
    return [figure(`${where}: ${metric}`, sum, unit), ...parts];
  });
}
