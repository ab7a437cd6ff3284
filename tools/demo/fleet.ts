/**
 * Starts the demo's processes: a fake log, six nodes in two failure domains,
 * and upstreams.
 * @module
 */
import { freePorts } from "../free_ports.ts";
import type { Processes } from "./processes.ts";

const NODES_PER_DOMAIN = 3;
const PORTS_PER_NODE = 3;
const DOMAINS = ["nl-west-a", "nl-west-b"] as const;

/** Addresses of one node. */
export interface DemoNode {
  readonly domain: string;
  readonly peer: string;
  readonly call: string;
  readonly admin: string;
}

/** Options of `startFleet`. */
export interface StartFleetOptions {
  readonly processes: Processes;
  readonly key: string;
}

/** Starts the fake log and the nodes. */
export async function startFleet(
  opts: StartFleetOptions,
): Promise<readonly DemoNode[]> {
  const { processes, key } = opts;
  const count = DOMAINS.length * NODES_PER_DOMAIN;
  const [logPort, ...ports] = await freePorts(1 + count * PORTS_PER_NODE);
  processes.start("tools/fake_log.js", [`--port=${logPort}`]);
  const nodes = Array.from({ length: count }, (_, index): DemoNode => {
    const at = (port: number) =>
      `127.0.0.1:${ports[index * PORTS_PER_NODE + port]}`;
    const domain = DOMAINS[index % DOMAINS.length] ?? DOMAINS[0];
    return { domain, peer: at(0), call: at(1), admin: at(2) };
  });
  // The nodes find each other through one seed in each failure domain.
  const seeds = nodes.slice(0, DOMAINS.length).map((node) => node.peer);
  for (const node of nodes) {
    processes.start("src/bin/lagoon_node.js", [
      `--domain=${node.domain}`,
      "--region=nl-west",
      `--peer-addr=${node.peer}`,
      `--call-addr=${node.call}`,
      `--admin-addr=${node.admin}`,
      `--seeds=${seeds.join(",")}`,
      `--log-url=http://127.0.0.1:${logPort}`,
      `--key=${key}`,
    ]);
  }
  return nodes;
}

/** Options of `startUpstreams`. */
export interface StartUpstreamsOptions extends StartFleetOptions {
  readonly nodes: readonly DemoNode[];
  readonly service: string;
  readonly version: string;
  /** Percentage of calls that the upstream fails. */
  readonly errorPercent: number;
}

/** Starts one upstream of a version at each of two nodes per failure domain. */
export function startUpstreams(opts: StartUpstreamsOptions) {
  for (const home of opts.nodes.slice(0, DOMAINS.length * 2)) {
    const others = opts.nodes.filter((node) =>
      node !== home && node.domain === home.domain
    );
    const homes = [home, ...others].map((node) => node.admin);
    opts.processes.start("tools/fake_upstream.js", [
      `--service=${opts.service}`,
      `--version=${opts.version}`,
      `--homes=${homes.join(",")}`,
      `--key=${opts.key}`,
      "--slots=20",
      `--error-percent=${opts.errorPercent}`,
    ]);
  }
}
