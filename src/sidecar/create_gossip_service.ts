/**
 * What a node tells its peers, and what it does with what they tell.
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
import { leadersOf } from "./leaders_of.ts";

/**
 * Time between pings of an idle pair of nodes, in milliseconds, within the
 * failure domain and between domains, where bytes are dear. It grows with the
 * links of either kind, so that a node's pings do not.
 */
const nearIdle = { shortestMs: 600, longestMs: 3_000, perLinkMs: 100 };
const farIdle = { shortestMs: 1_500, longestMs: 10_000, perLinkMs: 100 };

/** The same with a node that reads the operators' topic for others. */
const readerIdle = { nearMs: 1_000, farMs: 2_500 };

/**
 * Least time between looks at all links after one was found silent, in
 * milliseconds. Nodes that can't keep up must not be asked by all all the time.
 */
const probeMs = 5_000;

/** Time between looks at the health of all links. */
const checkMs = 200;

/** A peer's word on the health of its store reads counts this long. */
const healthMs = 6_000;

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
  /** How long a message may have waited unread, in milliseconds. */
  readonly lagMs: () => number;
  readonly meter: WorkMeter;
  readonly operator: OperatorFeed;
  /** Peers tell of starts that an earlier process here saw leave. */
  readonly onRecall: (gone: readonly StoppedInstance[]) => void;
  readonly shifts: () => readonly ShiftDescription[];
  readonly onShift: (event: TrafficShiftEvent) => void;
}

export interface GossipService extends Homes, FeedPeers {
  /** Takes a message; `reply` answers on the same link. */
  take(
    from: NodeId | undefined,
    message: Gossip,
    reply: (message: Gossip) => void,
  ): void;
  tellAll(message: Gossip): void;
  /**
   * Tells the own failure domain, the node that leads and the one that would
   * follow it. Counts change all the time, and bytes between domains are dear.
   */
  tellNearAndLeaders(message: Gossip): void;
  /** Applies an event of the fleet and its effects. */
  change(event: FleetEvent): void;
  /** How this node is. */
  status(): NodeStatus;
  /** Linked nodes whose reads of the store succeed. */
  healthyNodes(): readonly NodeId[];
  close(): void;
}

/** Creates the hub. It dials nodes as the fleet learns of them. */
export function createGossipService(
  opts: CreateGossipServiceOptions,
): GossipService {
  const { self, fleet, now, meter } = opts;
  const links = new Map<NodeId, DialledLink>();
  /** What linked nodes last said of their reads of the store. */
  const readings = new Map<NodeId, ReaderStatus>();
  const exchangedAt = new Map<NodeId, MonotonicMs>();
  let nearLinks = 0;
  let probedAt = -Infinity;
  let hasAskedRows = false;
  // One timer for all links: each wake-up costs, however many links there are.
  const checker = setInterval(() => {
    const work = meter.begin();
    nearLinks = [...links.keys()].filter(isSameDomain).length;
    for (const link of links.values()) link.check();
    opts.operator.tick();
    meter.end(work, Duty.Timers);
  }, checkMs);

  function change(event: FleetEvent) {
    for (const effect of decideFleet(fleet, event)) apply(effect);
  }

  function apply(effect: FleetEffect) {
    switch (effect.type) {
      case "dial":
        links.set(effect.node, dial(effect.node));
        return;
      case "forget":
        links.get(effect.node)?.close();
        links.delete(effect.node);
        readings.delete(effect.node);
        exchangedAt.delete(effect.node);
        opts.operator.lose(effect.node);
        return;
      case "tell":
        tellAll({ type: "rows", rows: [effect.row] });
        return;
      case "greet":
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
      onGossip: (message) => takeFromHome(node, message),
      onOpen() {
        opts.log.write("fleet", LogLevel.Info, "link opened", { peer: node });
        askRows(node);
      },
      onClose(reason) {
        const fields = { peer: node, reason };
        opts.log.write("fleet", LogLevel.Warn, "link lost", fields);
        readings.delete(node);
        opts.operator.lose(node);
        if (reason === UNRESPONSIVE_REASON) probeLinks();
        change({ type: "unlinked", node, now: now() });
      },
    });
  }

  /** The store may be out of reach at the start; one peer knows all others. */
  function askRows(node: NodeId) {
    if (hasAskedRows) return;
    hasAskedRows = true;
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
        ? Math.min(readerIdle.nearMs, scaled(nearIdle, nearLinks))
        : scaled(nearIdle, nearLinks);
    }
    const farMs = scaled(farIdle, links.size - nearLinks);
    return isReader ? Math.min(readerIdle.farMs, farMs) : farMs;
  }

  /** What silenced one link may have silenced others. */
  function probeLinks() {
    if (now() - probedAt < probeMs) return;
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

  function tellAll(message: Gossip) {
    for (const link of links.values()) link.send(message);
  }

  /**
   * Rows that come over a link are taken at once: one that waited while the link
   * was lost and opened again would speak for a process that is gone.
   */
  function takeFromHome(node: NodeId, message: Gossip) {
    if (message.type !== "rows") {
      return take(node, message, (reply) => send(node, reply));
    }
    const { rows } = message;
    change({ type: "rows-heard", rows, now: now() });
    const own = rows.find((row) => row.node === node);
    if (own !== undefined) change({ type: "confirmed", row: own, now: now() });
  }

  function tellNear(message: Gossip) {
    for (const [id, link] of links) if (isSameDomain(id)) link.send(message);
  }

  function tellFirstFar(message: Gossip) {
    const told = new Map<string, number>();
    for (const node of [...fleet.linked].toSorted()) {
      const domain = domainOf(node);
      if (domain === undefined || domain === opts.domain) continue;
      const count = told.get(domain) ?? 0;
      if (count >= RELAY_NODE_COUNT) continue;
      told.set(domain, count + 1);
      send(node, message);
    }
  }

  /**
   * Messages wait their turn, those that take a version back before others. The
   * status of a peer is only noted.
   */
  function take(
    from: NodeId | undefined,
    message: Gossip,
    reply: (message: Gossip) => void,
  ) {
    if (message.type === "ping" || message.type === "pong") {
      return takeStatus(from, message);
    }
    opts.control.post(
      priorityOf(message),
      () => {
        const work = meter.begin();
        handle(from, message, reply);
        meter.end(work, Duty.Control);
      },
    );
  }

  function handle(
    from: NodeId | undefined,
    message: Gossip,
    reply: (message: Gossip) => void,
  ) {
    switch (message.type) {
      case "hello":
        change({ type: "greeted", row: message.row, now: now() });
        // A node that has just started is reached without a pause.
        links.get(message.row.node)?.connectNow();
        reply({ type: "rows", rows: [ownRow(fleet)] });
        recallFor(message.row.node, reply);
        return tellMoves(reply);
      case "rows":
        return change({ type: "rows-heard", rows: message.rows, now: now() });
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
        return takeStatus(from, message);
      case "ask-operator":
        return reply(opts.operator.page());
      case "operator":
        return opts.operator.take(message, from);
      case "move-step":
        return opts.onShift({
          type: "step-heard",
          step: message.step,
          now: now(),
        });
      case "move-report":
        return opts.onShift({
          type: "report-heard",
          report: message.report,
          now: now(),
        });
      case "move-fault":
        return opts.onShift({ type: "fault-heard", fault: message.fault });
      default:
        exhausted(message);
    }
  }

  /** A process that has just started knows nothing of the one before it. */
  function recallFor(node: NodeId, reply: (message: Gossip) => void) {
    const gone = fleet.gone.get(node);
    if (gone !== undefined) reply({ type: "recall", gone });
  }

  function tellMoves(reply: (message: Gossip) => void) {
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
    return [...readings].flatMap(([node, readerStatus]) =>
      readerStatus === ReaderStatus.Healthy &&
        now() - exchangedAtOf(node) < healthMs
        ? [node]
        : []
    );
  }

  function takeStatus(from: NodeId | undefined, message: NodeStatus) {
    if (from === undefined) return;
    exchangedAt.set(from, now());
    const { report } = message;
    recordReport(opts.loadBalancing, { home: from, report, now: now() });
    const { readerStatus, operatorEnd: end } = message;
    readings.set(from, readerStatus);
    const domain = domainOf(from);
    opts.operator.hear({ node: from, domain, readerStatus, end });
  }

  return {
    homeOf: (node) => node === self ? opts.home : links.get(node),
    take,
    domainOf,
    send,
    tellAll,
    tellNear,
    tellFirstFar,
    pingNear: () => tellNear({ type: "ping", ...status() }),
    status,
    tellNearAndLeaders(message) {
      const leaders = leadersOf(readings);
      for (const [node, link] of links) {
        if (leaders.has(node) || isSameDomain(node)) link.send(message);
      }
    },
    change,
    healthyNodes,
    close() {
      clearInterval(checker);
      for (const link of links.values()) link.close();
    },
  };
}

function scaled(bounds: typeof nearIdle, count: number): number {
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
