/**
 * Starts a fleet of real processes on loopback, with faults on command.
 * @module
 */
import { request } from "undici";
import { freePorts } from "../free_ports.ts";
import { waitFor } from "../wait_for.ts";
import type { Deployment, ServiceSize } from "./deployments.ts";
import { type StartedProcess, startProcess } from "./start_process.ts";

/** Shared key of the fleet's nodes and operators. */
export const FLEET_KEY = "fleet-key";

/** A version coming into force on a node. */
export interface AppliedNote {
  readonly node: string;
  readonly version: number;
  /** Wall clock of this machine, in milliseconds since 1970. */
  readonly at: number;
}

export interface FleetNode {
  readonly domain: string;
  /** Service of the upstream in its VM. */
  readonly service: ServiceSize;
  readonly peer: string;
  readonly call: string;
  readonly admin: string;
  process: StartedProcess;
  isUp: boolean;
  /** Index into the fleet's notes from which those of its process begin. */
  notesFrom: number;
}

export interface Fleet {
  readonly deployment: Deployment;
  readonly nodes: readonly FleetNode[];
  readonly logUrl: string;
  /** Every version that came into force, in order of arrival here. */
  readonly applied: readonly AppliedNote[];
  kill(node: FleetNode): Promise<void>;
  start(node: FleetNode): void;
  /** Cuts failure domains off from the log and from every other domain. */
  cutOff(domains: readonly string[]): void;
  setLogFaults(faults: Readonly<Record<string, unknown>>): Promise<void>;
  close(): Promise<void>;
}

/** Options of `startFleet`. */
export interface StartFleetOptions {
  readonly deployment: Deployment;
  /** Directory that each node records its trace to, if any. */
  readonly record?: string;
  readonly retention?: number;
  /** Takes each line that a node logs. */
  readonly onLine?: (line: string) => void;
}

const portsPerNode = 3;
const limitMs = 30_000;
const seedsPerDomain = 2;

/** Starts the log and one node for each endpoint of the deployment. */
export async function startFleet(opts: StartFleetOptions): Promise<Fleet> {
  const { deployment } = opts;
  const places = placeNodes(deployment);
  const ports = await freePorts(1 + places.length * portsPerNode);
  const logPort = ports[0] ?? 0;
  const logUrl = `http://127.0.0.1:${logPort}`;
  const log = startProcess({
    script: "dist/tools/fake_log.js",
    args: [`--port=${logPort}`, `--retention=${opts.retention ?? 100_000}`],
  });
  const applied: AppliedNote[] = [];
  const addressOf = (index: number, offset: number) =>
    `127.0.0.1:${ports[1 + index * portsPerNode + offset]}`;
  const peers = places.map((_, index) => addressOf(index, 0));
  const seeds = deployment.domains.flatMap((domain) =>
    peers.filter((_, index) => places[index]?.domain === domain)
      .slice(0, seedsPerDomain)
  );

  function launch(
    node: Omit<FleetNode, "process" | "isUp" | "notesFrom">,
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
        noteApplied(applied, node.peer, line);
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
    return { ...base, process: launch(base), isUp: true, notesFrom: 0 };
  });
  await waitFor({
    what: "every node answers",
    limitMs,
    isTrue: async () => {
      const answers = await Promise.all(nodes.map((one) => isUp(one.admin)));
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
      node.notesFrom = applied.length;
      node.process = launch(node);
      node.isUp = true;
    },
    cutOff(domains) {
      for (const node of nodes) {
        node.process.send({ cut: unreachable(nodes, node, domains, logUrl) });
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

/** Spreads each service's endpoints over the failure domains. */
function placeNodes(deployment: Deployment) {
  let turn = 0;
  return deployment.services.flatMap((service) =>
    Array.from({ length: service.endpoints }, () => {
      const { domains } = deployment;
      const domain = domains[turn++ % domains.length] ?? "";
      return { domain, service };
    })
  );
}

const appliedPattern = /^(\S+) lagoon:config Version (\d+) is in force/;

function noteApplied(applied: AppliedNote[], node: string, line: string) {
  const match = appliedPattern.exec(line);
  if (match === null) return;
  const at = Date.parse(match[1] ?? "");
  applied.push({ node, version: Number(match[2]), at });
}

async function isUp(admin: string): Promise<boolean> {
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

/** Addresses that a node can't reach while `domains` are cut off. */
function unreachable(
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
