/**
 * Starts a small deployment on loopback: the store, one sidecar process for
 * each endpoint, and the platform's readiness checks.
 *
 * Sidecars are started with the `run` line of `deploy/system.toml`.
 * @module
 */
import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { startEndpoint } from "./endpoint.mjs";
import { startStore } from "./store.mjs";

const REPOSITORY = fileURLToPath(new URL("../..", import.meta.url));

/** Bounds of the small sites (SYSTEM.md). */
export const BOUNDS = {
  seedLagS: 3,
  addrReuseS: 2,
  stabilityMs: 3000,
  ackMs: 4000,
  catchUpS: 4,
  drainMs: 2000,
  graceS: 6,
  lossSlackMs: 200,
  configApplyMs: 2000,
  rollbackSlackMs: 250,
  maxStretchMs: 5000,
  retryBudgetRatio: 0.2,
  budgetWindowS: 10,
  retrySlack: 58,
  exposeShare: 0.1,
  exposeSlack: 50,
  rollbackMs: 5000,
  recoverS: 15,
};

export const HEARTBEAT_MS = 1500;
const READY_CHECK_MS = 1000;
const MISSES_UNTIL_OUT = 2;
const LONGEST_SCRIPT_MS = 118_000;
const HOST = "mesh.example";

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/**
 * Ports below the range from which the kernel takes the local ports of outgoing
 * connections, so that no connection takes one before its process listens.
 */
const PORTS = { first: 12_000, count: 18_000 };
let nextPort = Math.floor(Math.random() * PORTS.count);

async function freePort() {
  for (;;) {
    const port = PORTS.first + nextPort++ % PORTS.count;
    const server = createServer();
    const isFree = await new Promise((resolve) => {
      server.once("error", () => resolve(false));
      server.listen(port, "127.0.0.1", () => resolve(true));
    });
    await new Promise((resolve) => server.close(resolve));
    if (isFree) return port;
  }
}

function runLine() {
  const text = readFileSync(join(REPOSITORY, "deploy/system.toml"), "utf8");
  const line = /^run = "(.*)"$/m.exec(text)?.[1];
  if (line === undefined) throw new Error("the deploy file has no run line");
  return line.split(" ");
}

/** Builds a configuration as the operator writes it. */
export function configOf(version, rules) {
  const services = [...new Set(rules.map((rule) => rule.service))];
  return {
    version,
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    listeners: [{
      host: HOST,
      rules: rules.map((rule) => ({
        name: rule.name,
        kind: rule.kind,
        targetLatencyMs: rule.aimMs,
        priority: rule.priority ?? 1,
        match: { pathPrefix: rule.prefix },
        action: {
          service: rule.service,
          timeoutMs: rule.timeoutMs,
          maxAttempts: rule.maxAttempts ?? 3,
        },
      })),
    }],
    clusters: services.map((name) => ({
      name,
      healthPath: "/health",
      maxConnections: 110,
    })),
  };
}

/** One machine: a sidecar process and its endpoint. */
async function createMachine(opts) {
  const { name, zone, service, store, record, folder, all } = opts;
  const ports = await Promise.all([1, 2, 3, 4, 5].map(freePort));
  const [inbound, outbound, ready, control] = ports
    .map((port) => `127.0.0.1:${port}`);
  const appPort = await freePort();
  const file = join(folder, `${name}.json`);
  const settings = {
    self: {
      nodeName: name,
      role: "sidecar",
      machineClass: "sidecar",
      serves: ["sidecar"],
      ip: "127.0.0.1",
      zone,
      region: "r1",
      bootstrap: true,
      dataDir: null,
      limits: { cpuShare: 0.54, cores: 1, memoryMb: 350, maxFds: 4100 },
      appAddr: `127.0.0.1:${appPort}`,
      service,
    },
    network: {
      bindAddrs: { inbound, outbound, ready, control },
      internalPortRange: [ports[4], ports[4]],
      seeds: [],
      zones: {},
    },
    platform: {
      discovery: "static",
      entry: "static",
      heartbeatMs: HEARTBEAT_MS,
      platform: { address: store.address, form: "log" },
    },
    terms: { contracts: [], bounds: BOUNDS },
  };
  writeFileSync(file, JSON.stringify(settings));
  const machine = {
    name,
    zone,
    service,
    outbound,
    control,
    appPort,
    host: HOST,
    /** Whether the node has passed the readiness checks. */
    isChecked: false,
    /** Whether clients of this machine get work. */
    get isIn() {
      const inZone = all.filter((one) => one.zone === zone);
      const checked = inZone.filter((one) => one.isChecked).length;
      return machine.isChecked || checked < inZone.length / 2;
    },
    /** Whether the script itself has ended the process. */
    isEnding: false,
    /** Ends of the process that the script has not caused. */
    ownEnds: 0,
    child: undefined,
    log: [],
    start() {
      const [program, ...args] = runLine();
      machine.isEnding = false;
      const child = spawn(program, args, {
        cwd: REPOSITORY,
        env: {
          PATH: process.env.PATH,
          HOME: process.env.HOME,
          LANG: process.env.LANG,
          LAGOONLOCK_NODE_FILE: file,
        },
        stdio: ["ignore", "pipe", "pipe"],
      });
      machine.child = child;
      for (const stream of [child.stdout, child.stderr]) {
        stream.on("data", (data) => machine.log.push(data.toString()));
      }
      record.write("start", name, `pid=${child.pid}`);
      child.once("exit", (code, signal) => {
        if (machine.child === child) machine.child = undefined;
        record.write("exit", name, `code=${code}`, `signal=${signal}`);
        if (machine.isEnding) return;
        machine.ownEnds++;
        machine.onOwnEnd?.();
      });
    },
    signal(name) {
      record.write("signal", machine.name, name);
      machine.child?.kill(name);
    },
    /** Freezes the machine: the sidecar and its endpoint. */
    freeze() {
      machine.signal("SIGSTOP");
      machine.endpoint.freeze();
    },
    thaw() {
      machine.endpoint.thaw();
      machine.signal("SIGCONT");
    },
    /** Ends the process as an impairment does. */
    kill() {
      machine.isEnding = true;
      machine.signal("SIGKILL");
    },
  };
  async function check() {
    let misses = 0;
    for (;;) {
      const answer = await fetch(`http://${ready}/v1/ready`, {
        signal: AbortSignal.timeout(READY_CHECK_MS - 50),
      }).catch(() => undefined);
      await answer?.arrayBuffer().catch(() => undefined);
      misses = answer?.status === 200 ? 0 : misses + 1;
      if (misses === 0) machine.isChecked = true;
      if (misses >= MISSES_UNTIL_OUT) machine.isChecked = false;
      await sleep(READY_CHECK_MS);
    }
  }
  void check();
  return machine;
}

/**
 * Starts the store, the sidecars and their endpoints, and waits until all
 * sidecars are ready. `machines` lists a name, a zone, a service and the
 * endpoint's options for each machine.
 */
export async function startMesh({ record, rules, machines }) {
  const folder = mkdtempSync(join(tmpdir(), "review-"));
  const all = [];
  process.once("exit", () => {
    for (const { child } of all) child?.kill("SIGKILL");
    rmSync(folder, { recursive: true, force: true });
  });
  process.once("SIGTERM", () => process.exit(2));
  process.once("SIGINT", () => process.exit(2));
  setTimeout(() => {
    record.write("the script took too long");
    process.exit(2);
  }, LONGEST_SCRIPT_MS).unref();
  const store = await startStore();
  store.put("keyed.op", "config", configOf(1, rules));
  for (const options of machines) {
    const machine = await createMachine({
      ...options,
      store,
      record,
      folder,
      all,
    });
    all.push(machine);
  }
  for (const machine of all) machine.start();
  for (const [index, machine] of all.entries()) {
    machine.endpoint = await startEndpoint({
      record,
      id: `i-${machine.name}`,
      service: machine.service,
      zone: machine.zone,
      port: machine.appPort,
      control: machine.control,
      heartbeatMs: HEARTBEAT_MS,
      ...machines[index].endpoint,
    });
  }
  for (let waits = 0; all.some((machine) => !machine.isChecked); waits++) {
    if (waits > 200) throw new Error("the sidecars are not ready");
    await sleep(100);
  }
  // Every endpoint has pinged and every node has linked by then.
  await sleep(2 * HEARTBEAT_MS);
  return {
    store,
    machines: all,
    async stop() {
      for (const machine of all) {
        machine.isEnding = true;
        machine.endpoint?.stop();
        machine.child?.kill("SIGCONT");
        machine.child?.kill("SIGKILL");
      }
      await sleep(200);
    },
  };
}

/** Runs the script and ends with 0 or 1, or with 2 if it could not run. */
export async function runScript(url, main) {
  const { openRecord } = await import("./record.mjs");
  const folder = dirname(fileURLToPath(url));
  const record = openRecord(join(folder, "record.txt"));
  let code = 2;
  try {
    const isTroubled = process.env.TROUBLE !== "0";
    const broken = await main({ record, isTroubled });
    code = broken ? 1 : 0;
    record.write("verdict", broken ? "the rule was broken" : "the rule held");
  } catch (err) {
    record.write("could not run:", err.stack);
    console.error(err);
  }
  await record.close();
  process.exit(code);
}
