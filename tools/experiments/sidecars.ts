/**
 * What a node of the users' platform spends, by the size of its fleet.
 *
 * Fleets of two sizes run side by side at the same load a node, so that what
 * else the computer does weighs on both alike.
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

const sizes = [12, 80];
const domains = 4;
const services = ["one", "two", "three"];

/** Requests a second that begin at each node. */
const rate = 4;
const settleMs = 5_000;
const startLimitMs = 90_000;
const measuredMs = 15_000;
const restartMs = 6_000;
const changeMs = 1_000;
const pingMs = 1_500;
const routes = 300;

const bytesPerMegabyte = 1_048_576;

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

/** Sums over the nodes of a fleet, by metric and labels. */
type Reading = ReadonlyMap<string, number>;

/** Measures both fleets under load, and while a half of each restarts. */
export async function runSidecars(
  opts: ExperimentOptions,
): Promise<readonly Figure[]> {
  spawnSync("sh", ["tools/bundle.sh"], { stdio: "inherit" });
  const folder = mkdtempSync(join(tmpdir(), "lagoon-sidecars-"));
  const fleets: Fleet[] = [];
  try {
    for (const [index, size] of sizes.entries()) {
      opts.onProgress(`Starting ${size} nodes.`);
      fleets.push(await startFleet(folder, index, size));
    }
    const pings = startPings(fleets);
    await Promise.all(fleets.map((fleet) => waitUntilLinked(fleet, opts)));
    const load = startLoad(fleets);
    await sleep(settleMs);
    opts.onProgress("Measuring under load.");
    const before = await Promise.all(fleets.map(readFleet));
    await sleep(measuredMs);
    const after = await Promise.all(fleets.map(readFleet));
    opts.onProgress("Restarting a half of each fleet.");
    for (const fleet of fleets) restartHalf(folder, fleet);
    await sleep(restartMs);
    const restarted = await Promise.all(fleets.map(readSurvivors));
    load.close();
    pings.close();
    return fleets.flatMap((fleet, index) =>
      tellFleet(fleet, before[index], after[index], restarted[index])
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
      zone: `d${at % domains}`,
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
  return services[Math.floor(at / domains) % services.length] ?? "one";
}

function tableOf(version: number) {
  const rules = services.map((service) => ({
    prefix: `/${service}/`,
    service,
  }));
  const idle = Array.from({ length: routes }, (_, at) => ({
    prefix: `/idle-${at}/`,
    service: "one",
  }));
  return configOf(version, [...rules, ...idle]);
}

function startPings(fleets: readonly Fleet[]) {
  const timers = fleets.flatMap(({ nodes }) => nodes).map((node) => {
    const { ip, endpoint } = node;
    // A node that restarts can't be reached; the next round finds it.
    const ping = () => void endpoint.ping(`${ip}:17003`).catch(() => {});
    ping();
    return setInterval(ping, pingMs);
  });
  return { close: () => timers.forEach((timer) => clearInterval(timer)) };
}

/** Requests at each node, and a change of configuration each second. */
function startLoad(fleets: readonly Fleet[]) {
  const timers: NodeJS.Timeout[] = [];
  let calls = 0;
  let version = 1;
  for (const { ip } of fleets.flatMap(({ nodes }) => nodes)) {
    timers.push(setInterval(() => {
      calls++;
      const path = `/${services[calls % services.length]}/x`;
      callNode(ip, path, `r-${calls}`);
    }, 1_000 / rate));
  }
  timers.push(setInterval(() => {
    version++;
    for (const { store } of fleets) {
      store.put("keyed.op", "config", tableOf(version));
    }
  }, changeMs));
  return { close: () => timers.forEach((timer) => clearInterval(timer)) };
}

function callNode(ip: string, path: string, id: string) {
  const req = request(`http://${ip}:17002${path}`, {
    headers: { host: TEST_HOST, "x-request-id": id, "x-deadline-ms": "2000" },
  }, (res) => res.resume());
  // A failure shows in the counts of the node.
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
  return Math.floor(at / domains) % 2 === 0;
}

/** Waits until each node may offer calls to all endpoints. */
async function waitUntilLinked(fleet: Fleet, opts: ExperimentOptions) {
  const size = fleet.nodes.length;
  const giveUpAt = performance.now() + startLimitMs;
  while (performance.now() < giveUpAt) {
    await sleep(1_000);
    // Nodes that are not up yet can't be read.
    const reading = await readFleet(fleet).catch((): Reading => new Map());
    let endpoints = 0;
    for (const [name, value] of reading) {
      if (name.startsWith("lagoon_ready_endpoints{")) endpoints += value;
    }
    if (Math.round(endpoints) === size) return;
    opts.onProgress(`${size} nodes see ${endpoints.toFixed(1)} endpoints.`);
  }
  throw new Error(`${size} nodes are not all linked`);
}

function readFleet({ nodes }: Fleet): Promise<Reading> {
  return readNodes(nodes);
}

function readSurvivors({ nodes }: Fleet): Promise<Reading> {
  return readNodes(nodes.filter((_, at) => isSurvivor(at)));
}

/** Means over the nodes, by metric and labels. */
async function readNodes(nodes: readonly Node[]): Promise<Reading> {
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

const shown = [
  { metric: "lagoon_processor_seconds_total", unit: "ms/s", times: 1_000 },
  { metric: "lagoon_link_messages_total", unit: "/s", times: 1 },
  { metric: "lagoon_link_bytes_total", unit: "B/s", times: 1 },
  { metric: "lagoon_link_seconds_total", unit: "ms/s", times: 1_000 },
  { metric: "lagoon_work_seconds_total", unit: "ms/s", times: 1_000 },
  { metric: "lagoon_store_calls_total", unit: "/s", times: 1 },
  { metric: "lagoon_call_duration_seconds_count", unit: "/s", times: 1 },
];

function tellFleet(
  { nodes }: Fleet,
  before: Reading = new Map(),
  after: Reading = new Map(),
  restarted: Reading = new Map(),
): Figure[] {
  const memory = (after.get("lagoon_resident_bytes") ?? 0) / bytesPerMegabyte;
  return [
    ...tellSpan(`${nodes.length} nodes`, measuredMs, before, after),
    figure(`${nodes.length} nodes: memory`, memory, "MB"),
    ...tellSpan(`${nodes.length}, half restarts`, restartMs, after, restarted)
      .filter(({ name }) => /processor|messages_total$/.test(name)),
  ];
}

/** Rates a node, each metric in all and by label. */
function tellSpan(
  where: string,
  ms: number,
  before: Reading,
  after: Reading,
): Figure[] {
  return shown.flatMap(({ metric, unit, times }) => {
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
