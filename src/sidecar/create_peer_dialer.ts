/**
 * Opens links to other nodes, and paces the pings on them.
 * @module
 */
import type { MonotonicMs, NodeId } from "../core/types.ts";
import type { FleetState } from "../fleet/state.ts";
import {
  type DialledLink,
  dialLink,
  UNRESPONSIVE_REASON,
} from "../links/dial_link.ts";
import type { Gossip, NodeStatus } from "../links/messages.ts";
import {
  recordNetworkTime,
  recordReport,
} from "../load_balancing/record_home.ts";
import type { LoadBalancingState } from "../load_balancing/state.ts";
import { type Log, LogLevel } from "../logs/create_log.ts";
import { writeCallFault } from "../logs/write_call_fault.ts";
import type { WorkMeter } from "../metrics/create_work_meter.ts";
import type { LinkTable } from "./create_link_table.ts";

/**
 * Time between pings on an idle link, in milliseconds: within the failure
 * domain, and between domains, where traffic is expensive. It grows with the
 * number of links of the kind, so that the node's number of pings per second
 * does not.
 */
const SAME_DOMAIN_IDLE_MS = {
  shortestMs: 600,
  longestMs: 5_000,
  perLinkMs: 150,
};
const OTHER_DOMAIN_IDLE_MS = {
  shortestMs: 1_500,
  longestMs: 10_000,
  perLinkMs: 250,
};

/**
 * Upper bounds on that time for neighbors, which report lost nodes to the whole
 * fleet.
 */
const NEIGHBOR_IDLE_MS = { sameDomainMs: 1_000, otherDomainMs: 2_500 };

/**
 * Minimum time between probes of all links after a link became unresponsive, in
 * milliseconds. Overloaded nodes must not be probed continuously by all others.
 */
const PROBE_INTERVAL_MS = 5_000;

/** Options of `createPeerDialer`. */
export interface CreatePeerDialerOptions {
  readonly domain: string;
  readonly fleet: FleetState;
  readonly links: LinkTable;
  readonly loadBalancing: LoadBalancingState;
  readonly log: Log;
  readonly now: () => MonotonicMs;
  readonly random: () => number;
  /** How long a message may have waited to be read, in milliseconds. */
  readonly lagMs: () => number;
  readonly meter: WorkMeter;
  readonly hello: (node: NodeId) => Gossip;
  readonly status: () => NodeStatus;
  readonly onGossip: (node: NodeId, message: Gossip) => void;
  readonly onOpen: (node: NodeId) => void;
  /** Called when an open link is lost. */
  readonly onLost: (node: NodeId) => void;
  readonly onDialFailed: (node: NodeId) => void;
}

export interface PeerDialer {
  dial(node: NodeId): DialledLink;
  /** Records that a status message of a node has arrived. */
  recordExchange(node: NodeId): void;
  forgetExchange(node: NodeId): void;
  /** Counts the links, whose number paces the pings. */
  countLinks(): void;
}

export function createPeerDialer(opts: CreatePeerDialerOptions): PeerDialer {
  const { fleet, links, now } = opts;
  /** When a status message of each node last arrived. */
  const exchangedAt = new Map<NodeId, MonotonicMs>();
  let sameDomainLinks = 0;
  let otherDomainLinks = 0;
  let probedAt = -Infinity;

  function isSameDomain(node: NodeId): boolean {
    return fleet.rows.get(node)?.row.domain === opts.domain;
  }

  function idleMs(node: NodeId): number {
    const isNeighbor = links.isNeighbor(node);
    return isSameDomain(node)
      ? Math.min(
        scaled(SAME_DOMAIN_IDLE_MS, sameDomainLinks),
        isNeighbor ? NEIGHBOR_IDLE_MS.sameDomainMs : Infinity,
      )
      : Math.min(
        scaled(OTHER_DOMAIN_IDLE_MS, otherDomainLinks),
        isNeighbor ? NEIGHBOR_IDLE_MS.otherDomainMs : Infinity,
      );
  }

  /**
   * Probes all links: the cause of one unresponsive link may affect others too.
   */
  function probeLinks() {
    if (now() - probedAt < PROBE_INTERVAL_MS) return;
    probedAt = now();
    links.probe();
  }

  return {
    dial: (node) =>
      dialLink({
        node,
        idleMs: () => idleMs(node),
        exchangedAt: () => exchangedAt.get(node) ?? -Infinity,
        lagMs: opts.lagMs,
        now,
        random: opts.random,
        meter: opts.meter,
        isOtherDomain: () => fleet.rows.has(node) && !isSameDomain(node),
        hello: () => opts.hello(node),
        ping: () => ({ type: "ping", ...opts.status() }),
        onReport: (report, route) =>
          recordReport(opts.loadBalancing, {
            home: node,
            report,
            route,
            now: now(),
          }),
        onNetworkTime: (networkMs) =>
          recordNetworkTime(opts.loadBalancing, {
            home: node,
            networkMs,
            now: now(),
          }),
        onCallFault: (callId, err) => writeCallFault(opts.log, callId, err),
        onGossip: (message) => opts.onGossip(node, message),
        onOpen() {
          const fields = { peer: node };
          opts.log.write("fleet", LogLevel.Info, "link to peer opened", fields);
          opts.onOpen(node);
        },
        onClose(reason) {
          const fields = { peer: node, reason };
          opts.log.write("fleet", LogLevel.Warn, "link to peer lost", fields);
          exchangedAt.delete(node);
          if (reason === UNRESPONSIVE_REASON) probeLinks();
          opts.onLost(node);
        },
        onDialFailed: () => opts.onDialFailed(node),
      }),
    recordExchange: (node) => exchangedAt.set(node, now()),
    forgetExchange: (node) => exchangedAt.delete(node),
    countLinks() {
      const dialled = [...fleet.links.keys()];
      sameDomainLinks = dialled.filter(isSameDomain).length;
      otherDomainLinks = dialled.length - sameDomainLinks;
    },
  };
}

function scaled(bounds: typeof SAME_DOMAIN_IDLE_MS, count: number): number {
  const ms = count * bounds.perLinkMs;
  return Math.min(bounds.longestMs, Math.max(bounds.shortestMs, ms));
}
