/**
 * Starts a fleet of real node processes on loopback and injects faults.
 * @module
 */
import { request } from "undici";
import { freePorts } from "../free_ports.ts";
import { waitFor } from "../wait_for.ts";
import type { Deployment, ServiceSize } from "./deployments.ts";
import { type StartedProcess, startProcess } from "./start_process.ts";

/** Shared key of the fleet's nodes and operators. */
export const FLEET_KEY = "fleet-key";

/** A configuration version that a node has started to apply. */
export interface AppliedVersion {
  readonly node: string;
  readonly version: number;
  /** Wall clock of this machine, in milliseconds since 1970. */
  readonly at: number;
}

export interface FleetNode {
  readonly domain: string;
  /** Service of the upstream on the node's VM. */
  readonly service: ServiceSize;
  readonly peer: string;
  readonly call: string;
  readonly admin: string;
  process: StartedProcess;
  /** False while the node's process is killed. */
  isUp: boolean;
  /** Index in `Fleet.applied` of the first entry of the current process. */
  appliedFrom: number;
}

export interface Fleet {
  readonly deployment: Deployment;
  readonly nodes: readonly FleetNode[];
  readonly logUrl: string;
  /** Every applied version, in the order in which log lines are received. */
  readonly applied: readonly AppliedVersion[];
  kill(node: FleetNode): Promise<void>;
  start(node: FleetNode): void;
  /**
   * Partitions each of these failure domains from the log and from all other
   * domains, and heals the others. An empty list heals all.
   */
  cutOff(domains: readonly string[]): void;
  setLogFaults(faults: Readonly<Record<string, unknown>>): Promise<void>;
  close(): Promise<void>;
}

/** Options of `startFleet`. */
export interface StartFleetOptions {
  readonly deployment: Deployment;
  /** Directory for the nodes' traces. Without it, none are recorded. */
  readonly record?: string;
  /** Number of newest records that the fake log keeps of each stream. */
  readonly retention?: number;
  /** Called with each line that a node logs. */
  readonly onLine?: (line: string) => void;
}

const PORTS_PER_NODE = 3;
const STARTUP_TIMEOUT_MS = 30_000;
const SEEDS_PER_DOMAIN = 2;

/** Starts the fake log and one node for each endpoint of the deployment. */
export async function startFleet(opts: StartFleetOptions): Promise<Fleet> {
  const { deployment } = opts;
  const places = assignDomains(deployment);
  const ports = await freePorts(1 + places.length * PORTS_PER_NODE);
  const logPort = ports[0] ?? 0;
  const logUrl = `http://127.0.0.1:${logPort}`;
  const log = startProcess({
    script: "dist/tools/fake_log.js",
    args: [`--port=${logPort}`, `--retention=${opts.retention ?? 100_000}`],
  });
  const applied: AppliedVersion[] = [];
  const addressOf = (index: number, offset: number) =>
    `127.0.0.1:${ports[1 + index * PORTS_PER_NODE + offset]}`;
  const peers = places.map((_, index) => addressOf(index, 0));
  const seeds = deployment.domains.flatMap((domain) =>
    peers.filter((_, index) => places[index]?.domain === domain)
      .slice(0, SEEDS_PER_DOMAIN)
  );

  function launch(
    node: Omit<FleetNode, "process" | "isUp" | "appliedFrom">,
  ): StartedProcess {
    const record = opts.record === undefined
      ? []
      : [`--record=${opts.record}/${node.peer.replace(":", "-")}.jsonl`];
    return startProcess({
      script: "dist/src/bin/lagoon_node.js",
      preload: ["./dist/tools/fleet/cut_network.js"],
      env: { DEBUG: "lagoon:config,lagoon:totals", DEBUG_COLORS: "0" },
      args: [
        `--domain=${node.domain}`,
        `--region=${deployment.region}`,
        `--peer-addr=${node.peer}`,
        `--call-addr=${node.call}`,
        `--admin-addr=${node.admin}`,
        `--seeds=${seeds.join(",")}`,
        `--log-url=${logUrl}`,
        `--key=${FLEET_KEY}`,
        ...record,
      ],
      onLine: (line) => {
        recordAppliedVersion(applied, node.peer, line);
        opts.onLine?.(line);
      },
    });
  }

  const nodes: FleetNode[] = places.map((place, index) => {
    const base = {
      ...place,
      peer: addressOf(index, 0),
      call: addressOf(index, 1),
      admin: addressOf(index, 2),
    };
    return { ...base, process: launch(base), isUp: true, appliedFrom: 0 };
  });
  await waitFor({
    what: "every node answers",
    limitMs: STARTUP_TIMEOUT_MS,
    isTrue: async () => {
      const answers = await Promise.all(
        nodes.map((one) => isAnswering(one.admin)),
      );
      return answers.every((one) => one);
    },
  });

  return {
    deployment,
    nodes,
    logUrl,
    applied,
    async kill(node) {
      node.isUp = false;
      node.process.signal("SIGKILL");
      await node.process.exited;
    },
    start(node) {
      node.appliedFrom = applied.length;
      node.process = launch(node);
      node.isUp = true;
    },
    cutOff(domains) {
      for (const node of nodes) {
        node.process.send({
          cut: unreachableAddresses(nodes, node, domains, logUrl),
        });
      }
    },
    async setLogFaults(faults) {
      const res = await request(`${logUrl}/faults`, {
        method: "PUT",
        body: JSON.stringify(faults),
      });
      await res.body.dump();
    },
    async close() {
      await Promise.all(nodes.map((node) => node.process.stop()));
      await log.stop();
    },
  };
}

/** Assigns the endpoints of all services to failure domains round-robin. */
function assignDomains(deployment: Deployment) {
  let placedCount = 0;
  return deployment.services.flatMap((service) =>
    Array.from({ length: service.endpoints }, () => {
      const { domains } = deployment;
      const domain = domains[placedCount++ % domains.length] ?? "";
      return { domain, service };
    })
  );
}

const APPLIED_PATTERN = /^(\S+) lagoon:config Version (\d+) is in force/;

function recordAppliedVersion(
  applied: AppliedVersion[],
  node: string,
  line: string,
) {
  const match = APPLIED_PATTERN.exec(line);
  if (match === null) return;
  const at = Date.parse(match[1] ?? "");
  applied.push({ node, version: Number(match[2]), at });
}

async function isAnswering(admin: string): Promise<boolean> {
  try {
    const res = await request(`http://${admin}/v1/status`, {
      headers: { authorization: `Bearer ${FLEET_KEY}` },
    });
    await res.body.dump();
    return res.statusCode === 200;
  } catch {
    return false;
  }
}

/** Returns the addresses to block on a node while `domains` are cut off. */
function unreachableAddresses(
  nodes: readonly FleetNode[],
  node: FleetNode,
  domains: readonly string[],
  logUrl: string,
): string[] {
  const isCut = domains.includes(node.domain);
  const others = nodes.filter((one) =>
    one.domain !== node.domain && (isCut || domains.includes(one.domain))
  );
  const log = isCut ? [new URL(logUrl).host] : [];
  return [...log, ...others.map((one) => one.peer)];
}
