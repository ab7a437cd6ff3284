/**
 * Handles the messages that nodes send each other besides calls, and holds the
 * links of this node.
 *
 * The home node of an endpoint is the node on the same VM, the only one that
 * opens connections to it.
 * @module
 */
import type { AllowanceMessage } from "../allowance/messages.ts";
import type { Homes } from "../calls/state.ts";
import { type ControlLoop, Priority } from "../control/create_control_loop.ts";
import { exhausted } from "../core/exhausted.ts";
import type { MonotonicMs, NodeId } from "../core/types.ts";
import { isCutOff } from "../fleet/is_cut_off.ts";
import type { NodeRow } from "../fleet/messages.ts";
import { recallStopped } from "../fleet/remember_stopped.ts";
import {
  type FleetEvent,
  type FleetState,
  liveRows,
  ownRow,
} from "../fleet/state.ts";
import type { LocalHome } from "../endpoint_proxy/create_home.ts";
import type { Gossip, NodeStatus } from "../links/messages.ts";
import type { Log } from "../logs/create_log.ts";
import { Duty, type WorkMeter } from "../metrics/create_work_meter.ts";
import { forgetHome, recordReport } from "../load_balancing/record_home.ts";
import type { LoadBalancingState } from "../load_balancing/state.ts";
import type { ShiftDescription } from "../traffic_shift/describe_shifts.ts";
import {
  createShiftNewsState,
  isNewFault,
  isNewStep,
} from "../traffic_shift/select_news.ts";
import type { TrafficShiftEvent } from "../traffic_shift/state.ts";
import type { AllowanceService } from "./create_allowance_service.ts";
import { createBeatService } from "./create_beat_service.ts";
import { createFleetExchange } from "./create_fleet_exchange.ts";
import { createLinkTable } from "./create_link_table.ts";
import { createOutbox } from "./create_outbox.ts";
import { createPeerDialer } from "./create_peer_dialer.ts";
import type { FeedPeers, OperatorFeed } from "./feed_operator.ts";
import { findLeaders } from "./find_leaders.ts";
import type { InstanceWatch } from "./watch_instance.ts";
import type { SuspectWatch } from "./watch_suspects.ts";

/** Time between health checks of all links, in milliseconds. */
const CHECK_INTERVAL_MS = 200;

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
  readonly onRecall: InstanceWatch["recall"];
  /**
   * Called when this node has a link to another failure domain again, after it
   * lost all of them.
   */
  readonly onRejoined: () => void;
  readonly shifts: () => readonly ShiftDescription[];
  readonly onShift: (event: TrafficShiftEvent) => void;
  readonly allowance: Pick<AllowanceService, "receive" | "allocators">;
  readonly suspects: Pick<SuspectWatch, "receive" | "summary">;
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
  /**
   * Sends a message to the neighbors, which forward it to the whole fleet, but
   * not to the one that it came from.
   */
  broadcast(message: Gossip, except?: NodeId): void;
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
  const exchange = createFleetExchange({
    ...opts,
    links,
    outbox,
    dialer: () => dialer,
    onNodeLost: forgetReader,
    onDigestSent: (node) => links.send(node, allBeats()),
  });
  const dialer = createPeerDialer({
    ...opts,
    links,
    hello: exchange.hello,
    status,
    onGossip: handleLinkMessage,
    onOpen(node) {
      sendNews((message) => links.send(node, message));
      if (links.isNeighbor(node)) links.send(node, allBeats());
      exchange.greet(node);
    },
    onLost(node) {
      forgetReader(node);
      exchange.apply({ type: "unlinked", node, now: now() });
    },
    onDialFailed: (node) =>
      exchange.apply({ type: "dial-failed", node, now: now() }),
  });
  const shiftNews = createShiftNewsState();
  let knownLeaders = NO_LEADERS;
  let leadersFoundAt = -Infinity;
  let isCut = false;
  let hasBeenLinked = false;
  // One timer serves all links, because each wake-up of a timer has a cost.
  const checker = setInterval(() => {
    const work = meter.begin();
    const direct = union(leaders(), opts.allowance.allocators());
    exchange.apply({ type: "ticked", leaders: direct, now: now() });
    dialer.countLinks();
    links.check();
    checkRejoined();
    beats.tick();
    opts.operator.tick();
    exchange.tick();
    meter.end(work, Duty.Timers);
  }, CHECK_INTERVAL_MS);

  function checkRejoined() {
    const wasCutOff = isCut;
    isCut = isCutOff(fleet);
    if (wasCutOff && !isCut && hasBeenLinked) opts.onRejoined();
    hasBeenLinked ||= !isCut;
  }

  function forgetReader(node: NodeId) {
    beats.announceSilence(node);
    opts.operator.handlePeerLost(node);
  }

  function allBeats(): Gossip {
    return { type: "beats", beats: beats.all() };
  }

  function domainOf(node: NodeId): string | undefined {
    return fleet.rows.get(node)?.row.domain;
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
    exchange.apply({ type: "rows-received", rows, from: node, now: now() });
    const own = rows.find((row) => row.node === node);
    if (own !== undefined) {
      exchange.apply({ type: "confirmed", row: own, now: now() });
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
    if (isAllowance(message)) return handleAllowance(from, message);
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
        return exchange.apply({
          type: "rows-received",
          rows,
          from,
          now: now(),
        });
      }
      case "lost": {
        const { notice } = message;
        return exchange.apply({
          type: "lost-received",
          notice,
          from,
          now: now(),
        });
      }
      case "digest":
        if (from === undefined) return;
        return exchange.apply({
          type: "digest-received",
          from,
          domains: message.domains,
          isAnswer: message.isAnswer,
        });
      case "beats":
        return beats.handle(message.beats, from);
      case "recall":
        return opts.onRecall(message.gone, message.isComplete);
      case "ask-rows":
        return exchange.sendRows(message.domains, reply);
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
      case "allowance/join":
      case "allowance/beat":
      case "allowance/lease":
      case "allowance/ask":
      case "allowance/grant":
        // Handled on arrival, in handleMessage.
        return handleAllowance(from, message);
      case "quarantine/rows":
        return opts.suspects.receive(message.rows, from);
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
    exchange.apply({ type: "hello-received", row, now: now() });
    // A node that has just started is dialled without backoff.
    links.find(row.node)?.connectNow();
    reply({ type: "rows", rows: [ownRow(fleet)] });
    // A process that has just started does not know which instances stopped
    // during an earlier process of its node.
    const recalled = recallStopped(fleet, row.node, now());
    if (recalled !== undefined) reply({ type: "recall", ...recalled });
    if (isNeighbor) reply(allBeats());
    sendNews(reply);
  }

  /** Sends what a process that has just started does not know. */
  function sendNews(reply: (message: Gossip) => void) {
    const suspects = opts.suspects.summary();
    if (suspects !== undefined) reply(suspects);
    for (const { step, report, fault } of opts.shifts()) {
      reply({ type: "move-step", step });
      reply({ type: "move-report", report });
      if (fault !== undefined) reply({ type: "move-fault", fault });
    }
  }

  /** Not queued: a request may wait for the tokens. */
  function handleAllowance(
    from: NodeId | undefined,
    message: AllowanceMessage,
  ) {
    if (from === undefined) return;
    const work = meter.begin();
    opts.allowance.receive(from, message);
    meter.end(work, Duty.Control);
  }

  function handleStatus(from: NodeId | undefined, message: NodeStatus) {
    if (from === undefined) return;
    dialer.recordExchange(from);
    const { report } = message;
    recordReport(opts.loadBalancing, { home: from, report, now: now() });
    const { readerStatus, operatorEnd: end } = message;
    const domain = domainOf(from);
    opts.operator.handlePeerStatus({ node: from, domain, readerStatus, end });
  }

  function broadcast(message: Gossip, except?: NodeId) {
    if (message.type === "move-step") isNewStep(shiftNews, message.step);
    if (message.type === "move-fault") isNewFault(shiftNews, message.fault);
    forward(message, except);
  }

  return {
    homeOf: (node) => node === self ? opts.home : links.find(node),
    handleMessage,
    handleClosed(from, reply) {
      links.acceptedClosed(from, reply);
      if (links.canSend(from)) return;
      dialer.forgetExchange(from);
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
    awaitHome: exchange.awaitHome,
    applyEvent: exchange.apply,
    healthyNodes: beats.healthyNodes,
    close() {
      clearInterval(checker);
      outbox.close();
      links.close();
    },
  };
}

function isAllowance(message: Gossip): message is AllowanceMessage {
  return message.type.startsWith("allowance/");
}

function union(
  a: ReadonlySet<NodeId>,
  b: ReadonlySet<NodeId>,
): ReadonlySet<NodeId> {
  return b.size === 0 ? a : new Set([...a, ...b]);
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
    case "quarantine/rows":
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
    case "allowance/join":
    case "allowance/beat":
    case "allowance/lease":
    case "allowance/ask":
    case "allowance/grant":
      return Priority.Gossip;
    default:
      return exhausted(message);
  }
}
