/**
 * Exchanges the state of the fleet with the neighbors of this node, and keeps
 * the links to home nodes.
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
import { digestRows } from "../fleet/digest_rows.ts";
import { isHomeExpected } from "../fleet/is_home_expected.ts";
import type { NodeRow } from "../fleet/messages.ts";
import {
  type FleetEffect,
  type FleetEvent,
  type FleetState,
  liveRows,
  ownRow,
} from "../fleet/state.ts";
import type { LocalHome } from "../endpoint_proxy/create_home.ts";
import type { StoppedInstance } from "../local_endpoint/state.ts";
import {
  type DialledLink,
  dialLink,
  UNRESPONSIVE_REASON,
} from "../links/dial_link.ts";
import {
  type Gossip,
  type NodeStatus,
  PROTOCOL_VERSION,
} from "../links/messages.ts";
import { type Log, LogLevel } from "../logs/create_log.ts";
import { Duty, type WorkMeter } from "../metrics/create_work_meter.ts";
import {
  forgetHome,
  recordNetworkTime,
  recordReport,
} from "../load_balancing/record_home.ts";
import type { LoadBalancingState } from "../load_balancing/state.ts";
import type { ShiftDescription } from "../traffic_shift/describe_shifts.ts";
import {
  createShiftNewsState,
  isNewFault,
  isNewStep,
} from "../traffic_shift/select_news.ts";
import type { TrafficShiftEvent } from "../traffic_shift/state.ts";
import { createBeatService } from "./create_beat_service.ts";
import { createLinkTable } from "./create_link_table.ts";
import { createOutbox, splitRows } from "./create_outbox.ts";
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

/** Time between health checks of all links, in milliseconds. */
const CHECK_INTERVAL_MS = 200;

/** Time between digests, each of which is sent to the next neighbor. */
const DIGEST_INTERVAL_MS = 3_000;

/** Time for which the leaders are not looked for again, in milliseconds. */
const LEADERS_TTL_MS = 500;

const NO_LEADERS: ReadonlySet<NodeId> = new Set();

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
  /** Handles the end of a link that a peer opened. */
  handleClosed(from: NodeId, reply: (message: Gossip) => void): void;
  /** Sends a message to the neighbors, which forward it to the whole fleet. */
  broadcast(message: Gossip): void;
  /**
   * Sends a message to the nodes that lead traffic shifts, or would lead them
   * next.
   */
  sendToLeaders(message: Gossip): void;
  /**
   * Calls back once a link to a home of the service opens. Returns a function
   * that cancels the callback, or undefined if no such link is expected.
   */
  awaitHome(service: string, onReady: () => void): (() => void) | undefined;
  /** Applies an event to the fleet state and carries out its effects. */
  applyEvent(event: FleetEvent): void;
  /** Status of this node, as sent in pings. */
  status(): NodeStatus;
  /** Nodes that recently announced successful reads of the store. */
  healthyNodes(): readonly NodeId[];
  close(): void;
}

/** Creates the service. It opens links as the fleet state plans them. */
export function createGossipService(
  opts: CreateGossipServiceOptions,
): GossipService {
  const { self, fleet, now, meter } = opts;
  const links = createLinkTable();
  const outbox = createOutbox({
    neighbors: links.neighbors,
    send: links.send,
  });
  const beats = createBeatService({ ...opts, outbox, canSend: links.canSend });
  const shiftNews = createShiftNewsState();
  /** When a status message of each node last arrived. */
  const exchangedAt = new Map<NodeId, MonotonicMs>();
  /** Calls that wait for a link to a home. */
  const homeWaits = new Set<{ service: string; onReady: () => void }>();
  let sameDomainLinks = 0;
  let otherDomainLinks = 0;
  let probedAt = -Infinity;
  let digestSentAt = now();
  let digestTurn = 0;
  let hasRequestedRows = false;
  let knownLeaders = NO_LEADERS;
  let leadersFoundAt = -Infinity;
  // One timer serves all links, because each wake-up of a timer has a cost.
  const checker = setInterval(() => {
    const work = meter.begin();
    tick();
    meter.end(work, Duty.Timers);
  }, CHECK_INTERVAL_MS);

  function tick() {
    decide({ type: "ticked", leaders: leaders(), now: now() });
    const dialled = [...fleet.links.keys()];
    sameDomainLinks = dialled.filter(isSameDomain).length;
    otherDomainLinks = dialled.length - sameDomainLinks;
    links.check();
    beats.tick();
    opts.operator.tick();
    if (now() - digestSentAt < DIGEST_INTERVAL_MS) return;
    digestSentAt = now();
    const neighbors = links.neighbors();
    const next = neighbors[digestTurn++ % neighbors.length];
    if (next === undefined) return;
    links.send(next, digest(false));
    links.send(next, { type: "beats", beats: beats.all() });
  }

  function decide(event: FleetEvent) {
    for (const effect of decideFleet(fleet, event)) apply(effect);
    if (event.type === "confirmed") callBackWaiting();
  }

  function callBackWaiting() {
    for (const waiting of [...homeWaits]) {
      if (fleet.byService.has(waiting.service)) waiting.onReady();
    }
  }

  function apply(effect: FleetEffect) {
    switch (effect.type) {
      case "dial": {
        const { node, isNeighbor } = effect;
        return links.add(node, isNeighbor, () => dial(node));
      }
      case "set-neighbor":
        links.setNeighbor(effect.node, effect.isNeighbor);
        links.find(effect.node)?.send(hello(effect.node));
        if (effect.isNeighbor) links.send(effect.node, digest(false));
        return;
      case "remove-link":
        exchangedAt.delete(effect.node);
        forgetHome(opts.loadBalancing, effect.node);
        return links.retire(effect.node);
      case "send-hello":
        links.find(effect.node)?.send(hello(effect.node));
        return;
      case "send-own-row": {
        const message: Gossip = { type: "rows", rows: [effect.row] };
        for (const node of links.linkedNodes()) links.send(node, message);
        return;
      }
      case "forward-rows":
        for (const row of effect.rows) outbox.addRow(row, effect.except);
        return;
      case "forward-lost":
        opts.log.write("fleet", LogLevel.Info, "node reported as lost", {
          ...effect.notice,
          from: effect.except,
        });
        return forward({ type: "lost", notice: effect.notice }, effect.except);
      case "correct": {
        const { node, row, notice } = effect;
        if (row !== undefined) links.send(node, { type: "rows", rows: [row] });
        if (notice !== undefined) links.send(node, { type: "lost", notice });
        return;
      }
      case "request-rows": {
        const { node, domains } = effect;
        return links.send(node, { type: "ask-rows", domains });
      }
      case "send-digest":
        return links.send(effect.node, digest(true));
      case "probe":
        return links.find(effect.node)?.probe();
      case "node-lost":
        beats.announceSilence(effect.node);
        return opts.operator.handlePeerLost(effect.node);
      default:
        exhausted(effect);
    }
  }

  function dial(node: NodeId): DialledLink {
    return dialLink({
      node,
      idleMs: () => idleMs(node),
      exchangedAt: () => exchangedAt.get(node) ?? -Infinity,
      lagMs: opts.lagMs,
      now,
      random: opts.random,
      meter,
      isOtherDomain: () => fleet.rows.has(node) && !isSameDomain(node),
      hello: () => hello(node),
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
        greet(node);
      },
      onClose(reason) {
        const fields = { peer: node, reason };
        opts.log.write("fleet", LogLevel.Warn, "link to peer lost", fields);
        exchangedAt.delete(node);
        opts.operator.handlePeerLost(node);
        beats.announceSilence(node);
        if (reason === UNRESPONSIVE_REASON) probeLinks();
        decide({ type: "unlinked", node, now: now() });
      },
      onDialFailed: () => decide({ type: "dial-failed", node, now: now() }),
    });
  }

  /**
   * Sends a peer what it may lack. The rows of all nodes are requested from the
   * first peer, since the store, which lists the nodes, may be unreachable at
   * the start.
   */
  function greet(node: NodeId) {
    const send = (message: Gossip) => links.send(node, message);
    sendShifts(send);
    if (links.isNeighbor(node)) send({ type: "beats", beats: beats.all() });
    if (!hasRequestedRows) {
      hasRequestedRows = true;
      send({ type: "ask-rows", domains: undefined });
    } else if (links.isNeighbor(node)) {
      send(digest(false));
    }
  }

  function domainOf(node: NodeId): string | undefined {
    return fleet.rows.get(node)?.row.domain;
  }

  function hello(node: NodeId): Gossip {
    return {
      type: "hello",
      protocol: PROTOCOL_VERSION,
      row: ownRow(fleet),
      isNeighbor: links.isNeighbor(node),
    };
  }

  function digest(isAnswer: boolean): Gossip {
    return { type: "digest", domains: digestRows(fleet), isAnswer };
  }

  function isSameDomain(node: NodeId): boolean {
    return domainOf(node) === opts.domain;
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

  function status(): NodeStatus {
    return {
      report: opts.home.report(),
      operatorEnd: opts.operator.end(),
      readerStatus: opts.operator.readerStatus(),
      lagMs: opts.lagMs(),
    };
  }

  function forward(message: Gossip, except: NodeId | undefined) {
    for (const node of links.neighbors()) {
      if (node !== except) links.send(node, message);
    }
  }

  /** The nodes that lead traffic shifts, while there are any. */
  function leaders(): ReadonlySet<NodeId> {
    if (opts.shifts().length === 0) return NO_LEADERS;
    if (now() - leadersFoundAt < LEADERS_TTL_MS) return knownLeaders;
    leadersFoundAt = now();
    const statuses = new Map(
      liveRows(fleet).map(({ row: { node } }) => [node, beats.statusOf(node)]),
    );
    knownLeaders = findLeaders(statuses);
    return knownLeaders;
  }

  /**
   * Handles a message that arrived on a link opened by this node. Rows are
   * applied immediately: a row that waited while the link was lost and opened
   * again would describe a process that no longer runs.
   */
  function handleLinkMessage(node: NodeId, message: Gossip) {
    if (message.type !== "rows") {
      const reply = (answer: Gossip) => links.send(node, answer);
      return handleMessage(node, message, reply);
    }
    const { rows } = message;
    decide({ type: "rows-received", rows, from: node, now: now() });
    const own = rows.find((row) => row.node === node);
    if (own !== undefined) decide({ type: "confirmed", row: own, now: now() });
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
        return handleHello(message.row, message.isNeighbor, reply);
      case "rows": {
        const { rows } = message;
        return decide({ type: "rows-received", rows, from, now: now() });
      }
      case "lost": {
        const { notice } = message;
        return decide({ type: "lost-received", notice, from, now: now() });
      }
      case "digest":
        if (from === undefined) return;
        return decide({
          type: "digest-received",
          from,
          domains: message.domains,
          isAnswer: message.isAnswer,
        });
      case "beats":
        return beats.handle(message.beats, from);
      case "recall":
        return opts.onRecall(message.gone);
      case "ask-rows":
        return sendRows(message.domains, reply);
      case "ping":
      case "pong":
        return handleStatus(from, message);
      case "ask-operator":
        return reply(opts.operator.page(message.from));
      case "operator":
        return opts.operator.handlePage(message, from);
      case "move-step":
        if (isNewStep(shiftNews, message.step)) forward(message, from);
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
        if (isNewFault(shiftNews, message.fault)) forward(message, from);
        return opts.onShift({ type: "fault-received", fault: message.fault });
      default:
        exhausted(message);
    }
  }

  function handleHello(
    row: NodeRow,
    isNeighbor: boolean,
    reply: (message: Gossip) => void,
  ) {
    links.accept(row.node, isNeighbor, reply);
    decide({ type: "hello-received", row, now: now() });
    // A node that has just started is dialled without backoff.
    links.find(row.node)?.connectNow();
    reply({ type: "rows", rows: [ownRow(fleet)] });
    const gone = fleet.gone.get(row.node);
    // A process that has just started does not know which instances stopped
    // during an earlier process of its node.
    if (gone !== undefined) reply({ type: "recall", gone });
    if (isNeighbor) reply({ type: "beats", beats: beats.all() });
    sendShifts(reply);
  }

  function sendRows(
    domains: readonly string[] | undefined,
    reply: (message: Gossip) => void,
  ) {
    const rows = liveRows(fleet).flatMap(({ row, receivedAt }) =>
      domains === undefined || domains.includes(row.domain)
        ? [reduceColdTime(row, now() - receivedAt)]
        : []
    );
    for (const part of splitRows(rows)) reply({ type: "rows", rows: part });
  }

  function sendShifts(reply: (message: Gossip) => void) {
    for (const { step, report, fault } of opts.shifts()) {
      reply({ type: "move-step", step });
      reply({ type: "move-report", report });
      if (fault !== undefined) reply({ type: "move-fault", fault });
    }
  }

  function handleStatus(from: NodeId | undefined, message: NodeStatus) {
    if (from === undefined) return;
    exchangedAt.set(from, now());
    const { report } = message;
    recordReport(opts.loadBalancing, { home: from, report, now: now() });
    const { readerStatus, operatorEnd: end } = message;
    const domain = domainOf(from);
    opts.operator.handlePeerStatus({ node: from, domain, readerStatus, end });
  }

  function broadcast(message: Gossip) {
    if (message.type === "move-step") isNewStep(shiftNews, message.step);
    if (message.type === "move-fault") isNewFault(shiftNews, message.fault);
    forward(message, undefined);
  }

  return {
    homeOf: (node) => node === self ? opts.home : links.find(node),
    handleMessage,
    handleClosed(from, reply) {
      links.acceptedClosed(from, reply);
      if (links.canSend(from)) return;
      exchangedAt.delete(from);
      forgetHome(opts.loadBalancing, from);
    },
    domainOf,
    canSend: links.canSend,
    send: links.send,
    neighbors: links.neighbors,
    sendStatus: beats.send,
    broadcast,
    status,
    sendToLeaders(message) {
      for (const node of leaders()) links.send(node, message);
    },
    awaitHome(service, onReady) {
      if (!isHomeExpected(fleet, service)) return undefined;
      const waiting = { service, onReady };
      homeWaits.add(waiting);
      return () => homeWaits.delete(waiting);
    },
    applyEvent: decide,
    healthyNodes: beats.healthyNodes,
    close() {
      clearInterval(checker);
      outbox.close();
      links.close();
    },
  };
}

/** Returns a row with the time that is left of its endpoint's cold start. */
function reduceColdTime(row: NodeRow, elapsedMs: number): NodeRow {
  if (row.endpoint === undefined || row.endpoint.coldMs === 0) return row;
  const coldMs = Math.max(0, row.endpoint.coldMs - elapsedMs);
  return { ...row, endpoint: { ...row.endpoint, coldMs } };
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
    case "lost":
    case "hello":
    case "recall":
      return Priority.Drain;
    case "operator":
      return Priority.Config;
    case "ping":
    case "pong":
    case "beats":
    case "digest":
    case "ask-rows":
    case "ask-operator":
    case "move-report":
      return Priority.Gossip;
    default:
      return exhausted(message);
  }
}
