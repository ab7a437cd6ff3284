/**
 * Sends this node's state to its peers and handles the messages they send.
 *
 * The home node of an endpoint is the node on the same VM, the only one that
 * opens connections to it.
 * @module
 */
import type { Homes } from "../calls/state.ts";
import { type ControlLoop, Priority } from "../control/create_control_loop.ts";
import { exhausted } from "../core/exhausted.ts";
import type { MonotonicMs, NodeId } from "../core/types.ts";
import { decideFleet } from "../fleet/decide_fleet.ts";
import {
  type FleetEffect,
  type FleetEvent,
  type FleetState,
  ownRow,
} from "../fleet/state.ts";
import type { LocalHome } from "../endpoint_proxy/create_home.ts";
import type { StoppedInstance } from "../local_endpoint/state.ts";
import {
  type DialledLink,
  dialLink,
  UNRESPONSIVE_REASON,
} from "../links/dial_link.ts";
import type { Gossip, NodeStatus } from "../links/messages.ts";
import { type Log, LogLevel } from "../logs/create_log.ts";
import { Duty, type WorkMeter } from "../metrics/create_work_meter.ts";
import {
  recordNetworkTime,
  recordReport,
} from "../load_balancing/record_home.ts";
import type { LoadBalancingState } from "../load_balancing/state.ts";
import { RELAY_NODE_COUNT } from "../reader_election/decide_reader_election.ts";
import { ReaderStatus } from "../reader_election/state.ts";
import type { ShiftDescription } from "../traffic_shift/describe_shifts.ts";
import type { TrafficShiftEvent } from "../traffic_shift/state.ts";
import type { FeedPeers, OperatorFeed } from "./feed_operator.ts";
import { findLeaders } from "./find_leaders.ts";

/**
 * Time between pings on an idle link, in milliseconds: within the failure
 * domain, and between domains, where traffic is expensive. It grows with the
 * number of links of the kind, so that the node's number of pings per second
 * does not.
 */
const SAME_DOMAIN_IDLE_MS = {
  shortestMs: 600,
  longestMs: 3_000,
  perLinkMs: 100,
};
const OTHER_DOMAIN_IDLE_MS = {
  shortestMs: 1_500,
  longestMs: 10_000,
  perLinkMs: 100,
};

/** Upper bounds on that time for a node that reads the operators' topic. */
const READER_IDLE_MS = { sameDomainMs: 1_000, otherDomainMs: 2_500 };

/**
 * Minimum time between probes of all links after a link became unresponsive, in
 * milliseconds. Overloaded nodes must not be probed continuously by all others.
 */
const PROBE_INTERVAL_MS = 5_000;

/** Time between health checks of all links, in milliseconds. */
const CHECK_INTERVAL_MS = 200;

/** Time that a peer's report on its store reads is valid, in milliseconds. */
const READER_STATUS_TTL_MS = 6_000;

/** Options of `createGossipService`. */
export interface CreateGossipServiceOptions {
  readonly self: NodeId;
  readonly domain: string;
  readonly fleet: FleetState;
  readonly loadBalancing: LoadBalancingState;
  readonly home: LocalHome;
  readonly control: ControlLoop;
  readonly log: Log;
  readonly now: () => MonotonicMs;
  readonly random: () => number;
  /** How long a message may have waited to be read, in milliseconds. */
  readonly lagMs: () => number;
  readonly meter: WorkMeter;
  readonly operator: OperatorFeed;
  /**
   * Called with instances that stopped during an earlier process of this node.
   */
  readonly onRecall: (gone: readonly StoppedInstance[]) => void;
  readonly shifts: () => readonly ShiftDescription[];
  readonly onShift: (event: TrafficShiftEvent) => void;
}

export interface GossipService extends Homes, FeedPeers {
  /** Handles a message of a peer; `reply` answers on the same link. */
  handleMessage(
    from: NodeId | undefined,
    message: Gossip,
    reply: (message: Gossip) => void,
  ): void;
  /** Sends a message to all linked nodes. */
  sendToAll(message: Gossip): void;
  /**
   * Sends a message only to this failure domain, the node that leads traffic
   * shifts and its successors. Used for run counts, which change all the time,
   * since traffic between domains is expensive.
   */
  sendToDomainAndLeaders(message: Gossip): void;
  /** Applies an event to the fleet state and carries out its effects. */
  applyEvent(event: FleetEvent): void;
  /** Status of this node, as sent in pings. */
  status(): NodeStatus;
  /** Linked nodes that recently reported successful reads of the store. */
  healthyNodes(): readonly NodeId[];
  close(): void;
}

/** Creates the service. It opens a link to each node the fleet state learns. */
export function createGossipService(
  opts: CreateGossipServiceOptions,
): GossipService {
  const { self, fleet, now, meter } = opts;
  const links = new Map<NodeId, DialledLink>();
  /** Last reader status that each linked node sent. */
  const readerStatuses = new Map<NodeId, ReaderStatus>();
  /** When a status message of each node last arrived. */
  const exchangedAt = new Map<NodeId, MonotonicMs>();
  let sameDomainLinks = 0;
  let probedAt = -Infinity;
  let hasRequestedRows = false;
  // One timer serves all links, because each wake-up of a timer has a cost.
  const checker = setInterval(() => {
    const work = meter.begin();
    sameDomainLinks = [...links.keys()].filter(isSameDomain).length;
    for (const link of links.values()) link.check();
    opts.operator.tick();
    meter.end(work, Duty.Timers);
  }, CHECK_INTERVAL_MS);

  function decide(event: FleetEvent) {
    for (const effect of decideFleet(fleet, event)) apply(effect);
  }

  function apply(effect: FleetEffect) {
    switch (effect.type) {
      case "dial":
        links.set(effect.node, dial(effect.node));
        return;
      case "remove-link":
        links.get(effect.node)?.close();
        links.delete(effect.node);
        readerStatuses.delete(effect.node);
        exchangedAt.delete(effect.node);
        opts.operator.handlePeerLost(effect.node);
        return;
      case "send-row":
        sendToAll({ type: "rows", rows: [effect.row] });
        return;
      case "send-hello":
        send(effect.node, hello());
        return;
      default:
        exhausted(effect);
    }
  }

  function dial(node: NodeId): DialledLink {
    return dialLink({
      node,
      idleMs: () => idleMs(node),
      exchangedAt: () => exchangedAtOf(node),
      lagMs: opts.lagMs,
      now,
      random: opts.random,
      meter,
      isOtherDomain: () => fleet.rows.has(node) && !isSameDomain(node),
      hello,
      ping: () => ({ type: "ping", ...status() }),
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
      onGossip: (message) => handleLinkMessage(node, message),
      onOpen() {
        opts.log.write("fleet", LogLevel.Info, "link to peer opened", {
          peer: node,
        });
        requestRows(node);
      },
      onClose(reason) {
        const fields = { peer: node, reason };
        opts.log.write("fleet", LogLevel.Warn, "link to peer lost", fields);
        readerStatuses.delete(node);
        opts.operator.handlePeerLost(node);
        if (reason === UNRESPONSIVE_REASON) probeLinks();
        decide({ type: "unlinked", node, now: now() });
      },
    });
  }

  /**
   * Requests the rows of all nodes from the first peer. The store, which lists
   * the nodes, may be unreachable at the start.
   */
  function requestRows(node: NodeId) {
    if (hasRequestedRows) return;
    hasRequestedRows = true;
    send(node, { type: "ask-rows" });
  }

  function domainOf(node: NodeId): string | undefined {
    return fleet.rows.get(node)?.row.domain;
  }

  function hello(): Gossip {
    return { type: "hello", row: ownRow(fleet) };
  }

  function isSameDomain(node: NodeId): boolean {
    return domainOf(node) === opts.domain;
  }

  function idleMs(node: NodeId): number {
    const isReader = opts.operator.readerStatus() === ReaderStatus.Healthy;
    if (isSameDomain(node)) {
      return isReader
        ? Math.min(
          READER_IDLE_MS.sameDomainMs,
          scaled(SAME_DOMAIN_IDLE_MS, sameDomainLinks),
        )
        : scaled(SAME_DOMAIN_IDLE_MS, sameDomainLinks);
    }
    const otherDomainMs = scaled(
      OTHER_DOMAIN_IDLE_MS,
      links.size - sameDomainLinks,
    );
    return isReader
      ? Math.min(READER_IDLE_MS.otherDomainMs, otherDomainMs)
      : otherDomainMs;
  }

  /**
   * Probes all links: the cause of one unresponsive link may affect others too.
   */
  function probeLinks() {
    if (now() - probedAt < PROBE_INTERVAL_MS) return;
    probedAt = now();
    for (const link of links.values()) link.probe();
  }

  function status(): NodeStatus {
    return {
      report: opts.home.report(),
      operatorEnd: opts.operator.end(),
      readerStatus: opts.operator.readerStatus(),
      lagMs: opts.lagMs(),
    };
  }

  function send(node: NodeId, message: Gossip) {
    links.get(node)?.send(message);
  }

  function sendToAll(message: Gossip) {
    for (const link of links.values()) link.send(message);
  }

  /**
   * Handles a message that arrived on a link opened by this node. Rows are
   * applied immediately: a row that waited while the link was lost and opened
   * again would describe a process that no longer runs.
   */
  function handleLinkMessage(node: NodeId, message: Gossip) {
    if (message.type !== "rows") {
      return handleMessage(node, message, (reply) => send(node, reply));
    }
    const { rows } = message;
    decide({ type: "rows-received", rows, now: now() });
    const own = rows.find((row) => row.node === node);
    if (own !== undefined) decide({ type: "confirmed", row: own, now: now() });
  }

  function sendToDomain(message: Gossip) {
    for (const [id, link] of links) if (isSameDomain(id)) link.send(message);
  }

  function sendToRemoteRelays(message: Gossip) {
    const sentTo = new Map<string, number>();
    for (const node of [...fleet.linked].toSorted()) {
      const domain = domainOf(node);
      if (domain === undefined || domain === opts.domain) continue;
      const count = sentTo.get(domain) ?? 0;
      if (count >= RELAY_NODE_COUNT) continue;
      sentTo.set(domain, count + 1);
      send(node, message);
    }
  }

  /**
   * Queues a message by priority. Messages that may roll a version back come
   * first. The status of a peer is not queued, but recorded immediately.
   */
  function handleMessage(
    from: NodeId | undefined,
    message: Gossip,
    reply: (message: Gossip) => void,
  ) {
    if (message.type === "ping" || message.type === "pong") {
      return handleStatus(from, message);
    }
    opts.control.post(
      priorityOf(message),
      () => {
        const work = meter.begin();
        dispatch(from, message, reply);
        meter.end(work, Duty.Control);
      },
    );
  }

  function dispatch(
    from: NodeId | undefined,
    message: Gossip,
    reply: (message: Gossip) => void,
  ) {
    switch (message.type) {
      case "hello":
        decide({ type: "hello-received", row: message.row, now: now() });
        // A node that has just started is dialled without backoff.
        links.get(message.row.node)?.connectNow();
        reply({ type: "rows", rows: [ownRow(fleet)] });
        recallFor(message.row.node, reply);
        return sendShifts(reply);
      case "rows":
        return decide({
          type: "rows-received",
          rows: message.rows,
          now: now(),
        });
      case "recall":
        return opts.onRecall(message.gone);
      case "ask-rows":
        reply({
          type: "rows",
          rows: [...fleet.rows.values()].map(({ row }) => row),
        });
        return;
      case "ping":
      case "pong":
        return handleStatus(from, message);
      case "ask-operator":
        return reply(opts.operator.page());
      case "operator":
        return opts.operator.handlePage(message, from);
      case "move-step":
        return opts.onShift({
          type: "step-received",
          step: message.step,
          now: now(),
        });
      case "move-report":
        return opts.onShift({
          type: "report-received",
          report: message.report,
          now: now(),
        });
      case "move-fault":
        return opts.onShift({ type: "fault-received", fault: message.fault });
      default:
        exhausted(message);
    }
  }

  /**
   * Sends a node the stopped instances that its earlier process announced. A
   * process that has just started does not have them.
   */
  function recallFor(node: NodeId, reply: (message: Gossip) => void) {
    const gone = fleet.gone.get(node);
    if (gone !== undefined) reply({ type: "recall", gone });
  }

  function sendShifts(reply: (message: Gossip) => void) {
    for (const { step, report, fault } of opts.shifts()) {
      reply({ type: "move-step", step });
      reply({ type: "move-report", report });
      if (fault !== undefined) reply({ type: "move-fault", fault });
    }
  }

  function exchangedAtOf(node: NodeId): MonotonicMs {
    return exchangedAt.get(node) ?? -Infinity;
  }

  function healthyNodes(): NodeId[] {
    return [...readerStatuses].flatMap(([node, readerStatus]) =>
      readerStatus === ReaderStatus.Healthy &&
        now() - exchangedAtOf(node) < READER_STATUS_TTL_MS
        ? [node]
        : []
    );
  }

  function handleStatus(from: NodeId | undefined, message: NodeStatus) {
    if (from === undefined) return;
    exchangedAt.set(from, now());
    const { report } = message;
    recordReport(opts.loadBalancing, { home: from, report, now: now() });
    const { readerStatus, operatorEnd: end } = message;
    readerStatuses.set(from, readerStatus);
    const domain = domainOf(from);
    opts.operator.handlePeerStatus({ node: from, domain, readerStatus, end });
  }

  return {
    homeOf: (node) => node === self ? opts.home : links.get(node),
    handleMessage,
    domainOf,
    send,
    sendToAll,
    sendToDomain,
    sendToRemoteRelays,
    pingDomain: () => sendToDomain({ type: "ping", ...status() }),
    status,
    sendToDomainAndLeaders(message) {
      const leaders = findLeaders(readerStatuses);
      for (const [node, link] of links) {
        if (leaders.has(node) || isSameDomain(node)) link.send(message);
      }
    },
    applyEvent: decide,
    healthyNodes,
    close() {
      clearInterval(checker);
      for (const link of links.values()) link.close();
    },
  };
}

function scaled(bounds: typeof SAME_DOMAIN_IDLE_MS, count: number): number {
  const ms = count * bounds.perLinkMs;
  return Math.min(bounds.longestMs, Math.max(bounds.shortestMs, ms));
}

function priorityOf(message: Gossip): Priority {
  switch (message.type) {
    case "move-fault":
    case "move-step":
      return Priority.Rollback;
    case "rows":
    case "hello":
    case "recall":
      return Priority.Drain;
    case "operator":
      return Priority.Config;
    case "ping":
    case "pong":
    case "ask-rows":
    case "ask-operator":
    case "move-report":
      return Priority.Gossip;
    default:
      return exhausted(message);
  }
}
