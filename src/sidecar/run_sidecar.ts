/**
 * Runs the sidecar: creates all parts of the process and connects them.
 * @module
 */
import { randomBytes, randomInt } from "node:crypto";
import { createServer, type Server } from "node:http";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import polka from "polka";
import { createRetryBudgetState } from "../retry_budget/state.ts";
import { createCallerServer } from "../callers/create_caller_server.ts";
import { createCallerTimeouts } from "../callers/estimate_age.ts";
import type { CallContext } from "../callers/state.ts";
import { createLagMeter } from "../control/create_lag_meter.ts";
import { createControlLoop } from "../control/create_control_loop.ts";
import { formatError } from "../core/errors.ts";
import type { MonotonicMs } from "../core/types.ts";
import { exhausted } from "../core/exhausted.ts";
import { countReady } from "../fleet/count_ready.ts";
import { createFleetState } from "../fleet/state.ts";
import { createHome } from "../endpoint_proxy/create_home.ts";
import { acceptLinks } from "../links/accept_links.ts";
import { createLog, LogLevel } from "../logs/create_log.ts";
import { writeCallFault } from "../logs/write_call_fault.ts";
import { createMetrics } from "../metrics/create_metrics.ts";
import { createWorkMeter, Duty } from "../metrics/create_work_meter.ts";
import { meterStore } from "../metrics/meter_store.ts";
import { watchGarbageCollection } from "../metrics/watch_garbage_collection.ts";
import { createLoadBalancingState } from "../load_balancing/state.ts";
import { RefusalReason } from "../queue/state.ts";
import { ReaderStatus } from "../reader_election/state.ts";
import { adoptTable } from "../routes/adopt_table.ts";
import { createRoutesState, type RouteTable } from "../routes/state.ts";
import { canFinish } from "../shutdown/can_finish.ts";
import { createShutdownState } from "../shutdown/create_shutdown_state.ts";
import { decideShutdown } from "../shutdown/decide_shutdown.ts";
import {
  type ShutdownEffect,
  ShutdownPhase,
  type ShutdownState,
} from "../shutdown/state.ts";
import { countRun } from "../traffic_shift/count_run.ts";
import { decideTrafficShift } from "../traffic_shift/decide_traffic_shift.ts";
import { describeShifts } from "../traffic_shift/describe_shifts.ts";
import {
  createTrafficShiftState,
  type TrafficShiftEvent,
} from "../traffic_shift/state.ts";
import { createAllowanceService } from "./create_allowance_service.ts";
import { createGossipService } from "./create_gossip_service.ts";
import { createPingServer } from "./create_ping_server.ts";
import { driveTrafficShift } from "./drive_traffic_shift.ts";
import { trackEra } from "../store/track_era.ts";
import { sumVersionLoad } from "./sum_version_load.ts";
import type { Platform, SidecarSettings } from "./platform_port.ts";
import { createOperatorFeed } from "./feed_operator.ts";
import { createOperatorReader } from "./read_operator.ts";
import { createShiftRecorder } from "./record_shifts.ts";
import { createStoppedRecorder } from "./record_stopped.ts";
import { registerNode, type Registration } from "./register_node.ts";
import { watchEvacuations } from "./watch_evacuations.ts";
import { watchInstance } from "./watch_instance.ts";
import { watchSuspects } from "./watch_suspects.ts";

/**
 * Maximum number of queued messages of peers. Further gossip is dropped; its
 * senders repeat it.
 */
const MAX_CONTROL_EVENTS = 1_000;

/** Length of the random identifier of a process, in bytes. */
const INCARNATION_BYTES = 8;

/** Time between ticks of the traffic shifts, in milliseconds. */
const SHIFT_TICK_MS = 100;

/**
 * Time after the start in which a node does not lead traffic shifts, in
 * milliseconds.
 * Until then the pings of nodes that rank before it may not have arrived.
 */
const LEAD_AFTER_MS = 3_000;

/**
 * Time after the start in which a node without a healthy peer does not lead
 * traffic shifts, in milliseconds.
 */
const LEAD_ALONE_AFTER_MS = 10_000;

/** Time between log lines that sum up the work, in milliseconds. */
const WORK_LOG_INTERVAL_MS = 5_000;

/**
 * Time over which the nodes write to a restored store again, in milliseconds.
 * At 6,200 nodes it takes as many writes a second as the store allows.
 */
const RESTORE_SPREAD_MS = 2_000;

/** Time between ticks of the shutdown, in milliseconds. */
const SHUTDOWN_TICK_MS = 50;

/**
 * Time from the start of the process by the platform to the start of its clock,
 * and from a decision here to its effect at the endpoint, in milliseconds.
 */
const START_MARGIN_MS = 200;

/** Options of `runSidecar`. */
export interface RunSidecarOptions {
  readonly settings: SidecarSettings;
  readonly platform: Platform;
  /**
   * When the process started, on the clock of `performance.now()`. Defaults to
   * the time of the call.
   */
  readonly startedAt?: MonotonicMs;
}

export interface Sidecar {
  /** Applies changed limits. Addresses stay until the process ends. */
  reload(next: SidecarSettings): void;
  /** Logs that new settings are invalid and those in force are kept. */
  rejectReload(reason: string): void;
  /** Finishes open calls within the grace period, then stops all parts. */
  close(): Promise<void>;
}

/** Starts the sidecar. Rejects if it can't listen on one of its addresses. */
export async function runSidecar(opts: RunSidecarOptions): Promise<Sidecar> {
  let settings = opts.settings;
  const now = () => performance.now();
  const meter = createWorkMeter({ now });
  const store = trackEra({
    store: meterStore(opts.platform.store, meter),
    onRestored: handleRestored,
  });
  const platform = { ...opts.platform, store };
  const startedAt = opts.startedAt ?? now();
  const random = () => randomInt(2 ** 32) / 2 ** 32;
  const log = createLog({ node: settings.node, now });
  const metrics = createMetrics({ meter });
  const collections = watchGarbageCollection(meter);
  const routes = createRoutesState();
  const loadBalancing = createLoadBalancingState();
  const life = randomBytes(INCARNATION_BYTES).toString("hex");
  const fleet = createFleetState({
    self: settings.node,
    domain: settings.domain,
    life,
    startedAt: Date.now(),
  });
  const source = `${settings.node} ${Date.now()}`;
  const trafficShift = createTrafficShiftState({ self: settings.node, source });
  const control = createControlLoop({
    maxWaiting: MAX_CONTROL_EVENTS,
    onError: (err) =>
      log.write(
        "process",
        LogLevel.Error,
        "handling of a peer's message failed",
        {
          reason: err instanceof Error ? err.stack : String(err),
        },
      ),
  });
  const lag = createLagMeter({ now });
  let stop: ShutdownState | undefined;
  let closed: Promise<void> | undefined;
  let registration: Registration | undefined = undefined;
  let shiftTimer: NodeJS.Timeout | undefined;
  let restoreTimer: NodeJS.Timeout | undefined;

  const suspects = watchSuspects({
    boot: life,
    log,
    now,
    forward: (message, except) => gossip.broadcast(message, except),
  });
  const unsentBytes = () => links.unsentBytes() + callers.unsentBytes();
  const home = createHome({
    endpointAddress: settings.endpointAddress,
    dialect: platform.dialect,
    now,
    unsentBytes,
    suspects,
    table: () => routes.table,
    onRun(run) {
      countRun(trafficShift, run);
      metrics.countVersionRun(run);
    },
    onShed({ id, route }, { reason, isOverShare }) {
      metrics.countShed(route, reason, isOverShare);
      if (reason !== RefusalReason.Displaced) return;
      log.write("call", LogLevel.Info, "waiting call displaced", { id, route });
    },
    onLateRun: ({ callId, ...times }) =>
      log.write("call", LogLevel.Info, "run ended past its latency objective", {
        id: callId,
        ...times,
      }),
    onUntrustedAnswer({ id, route }, { status, defect: doubt }) {
      metrics.countUntrustedAnswer(doubt);
      const fields = { id, route, status, doubt };
      log.write(
        "endpoint",
        LogLevel.Warn,
        "endpoint sent an invalid answer",
        fields,
      );
    },
    onUnusableEndpoint: (reason) =>
      log.write(
        "endpoint",
        LogLevel.Warn,
        "endpoint can't be used as announced; calls paused",
        { reason },
      ),
    onColdLimit(change) {
      if (change.type === "limit-ended") {
        log.write("endpoint", LogLevel.Info, "endpoint is warm");
        return;
      }
      const { reason, coldMs } = change;
      const fields = { reason, coldMs };
      log.write("endpoint", LogLevel.Info, "starts limited", fields);
    },
    onStartDelayed: metrics.countColdDelay,
    onHealthFailed: (err) =>
      log.write("endpoint", LogLevel.Warn, "health request failed", {
        reason: formatError(err),
      }),
    onMisdirected(call, present) {
      metrics.countMisdirected(call.service, present.service);
      log.write(
        "endpoint",
        LogLevel.Warn,
        "call refused: meant for another endpoint",
        {
          id: call.id,
          route: call.route,
          expected: { service: call.service, version: call.version },
          present: {
            id: present.id,
            service: present.service,
            version: present.version,
          },
        },
      );
    },
  });

  const operator = createOperatorReader({
    platform,
    log,
    onTable: applyTable,
    onEvacuation: (domain, isActive) => evacuations.apply(domain, isActive),
    onOrder(order, isNew) {
      log.write("move", LogLevel.Info, "traffic shift ordered", {
        ...order,
        isNew,
      });
      decideTrafficShift(trafficShift, {
        type: "ordered",
        order,
        isNew,
        now: now(),
      });
      startShiftTimer();
      registration?.readStatuses();
    },
  });

  /**
   * The store has lost what was written since its copy. Each node writes again
   * what it alone owns, after a random delay: all nodes find out at about the
   * same time.
   */
  function handleRestored(era: number, before: number) {
    const text = "store restored from an older copy";
    log.write("store", LogLevel.Warn, text, { era, before });
    feed.restart();
    handleShiftEvent({ type: "store-restored" });
    restoreTimer ??= setTimeout(() => {
      restoreTimer = undefined;
      registration?.writeAgain();
      stoppedRecorder.writeAgain();
    }, random() * RESTORE_SPREAD_MS);
  }

  const evacuations = watchEvacuations({
    isKnown: (domain) =>
      settings.domains.length === 0 || settings.domains.includes(domain) ||
      domain === settings.domain ||
      [...fleet.rows.values()].some(({ row }) => row.domain === domain),
    log,
    onChanged(domains, known) {
      gossip.applyEvent({ type: "evacuations-changed", domains });
      home.setEvacuated(domains.has(settings.domain));
      metrics.setEvacuatedDomains(known);
    },
  });

  function applyTable(table: RouteTable, bytes: number) {
    if (!adoptTable(routes, table)) return;
    home.setTerms(table.services.get(settings.service));
    void instance.checkHealth();
    callers.setLimits(table.limits);
    callers.recheckUnsentCalls();
    const services = [...table.services.keys()];
    gossip.applyEvent({ type: "services-listed", services, now: now() });
    allowance.adoptAccounts(table.accounts);
    metrics.setTableVersion(table.version);
    log.write("config", LogLevel.Info, "new route table in force", {
      version: table.version,
      bytes,
      accounts: table.accounts?.byName.size,
      keys: table.accounts?.byKey.size,
    });
  }

  const feed = createOperatorFeed({
    self: settings.node,
    domain: settings.domain,
    store,
    topic: platform.topics.operator,
    operator,
    peers: () => gossip,
    log,
    now,
    random,
  });

  const allowance = createAllowanceService({
    self: settings.node,
    domain: settings.domain,
    domainCount: settings.domainCount,
    terms: settings.allowance,
    fleet,
    send: (node, message) => gossip.send(node, message),
    log,
    metrics,
    meter,
    now,
    wall: Date.now,
  });

  const gossip = createGossipService({
    self: settings.node,
    domain: settings.domain,
    fleet,
    loadBalancing,
    home,
    control,
    log,
    now,
    random,
    lagMs: lag.lagMs,
    meter,
    operator: feed,
    onRecall(gone, isComplete) {
      instance.recall(gone, isComplete);
      // The earlier process may have ended before the store had it.
      if (gone.length > 0) stoppedRecorder.add(instance.stopped());
    },
    onRejoined: () => home.invalidateColdTime("the node was cut off"),
    shifts: () => describeShifts(trafficShift, now()),
    allowance,
    suspects,
    onShift: handleShiftEvent,
  });

  const ctx: CallContext = {
    self: settings.node,
    domain: settings.domain,
    service: settings.service,
    routes,
    trafficShift,
    fleet,
    loadBalancing,
    budget: createRetryBudgetState(),
    budgetTerms: () => settings.budget,
    timeouts: createCallerTimeouts(),
    answerBytes: new Map(),
    homes: gossip,
    verifyHome: (node) =>
      gossip.applyEvent({ type: "suspected", node, now: now() }),
    awaitHome: gossip.awaitHome,
    recordDemand: (service, isFull) =>
      gossip.applyEvent({ type: "called", service, isFull, now: now() }),
    ownReport: home.report,
    isRunningHere: home.isRunning,
    runMsOf: home.runMsOf,
    deadlineRatioOf: home.deadlineRatioOf,
    recordNestedFailure: home.recordNestedFailure,
    countCrashes: suspects.countCrashes,
    admitAccount: allowance.admit,
    unsentBytes,
    dialect: platform.dialect,
    log,
    metrics,
    lagMs: lag.lagMs,
    now,
    random,
  };
  const callers = createCallerServer({ ctx });
  measureRequests(callers.server, Duty.Callers);
  feed.start();

  const recorder = createShiftRecorder({
    self: settings.node,
    store: platform.store,
    topic: platform.topics.status,
    platform,
    log,
    now,
    random,
    wall: Date.now,
    onEvent: handleShiftEvent,
  });

  function handleShiftEvent(event: TrafficShiftEvent) {
    driveTrafficShift({ state: trafficShift, recorder, gossip, log }, event);
  }

  const stoppedRecorder = createStoppedRecorder({
    self: settings.node,
    store: platform.store,
    topic: platform.topics.nodes,
    log,
    random,
    hasPeers: () => fleet.linked.size > 0,
  });
  const instance = watchInstance({
    decodePing: platform.decodePing,
    service: settings.service,
    address: settings.endpointAddress,
    start: {
      at: startedAt,
      wallAt: Date.now() - (now() - startedAt),
      pingIntervalMs: settings.pingIntervalMs,
      unprovenMs: Math.max(0, settings.stabilityMs - START_MARGIN_MS),
    },
    home,
    log,
    now,
    wall: Date.now,
    onEndpoint: (endpoint, gone) =>
      gossip.applyEvent({ type: "row-changed", endpoint, gone, now: now() }),
    onStopped: stoppedRecorder.record,
  });

  function isBusy(): boolean {
    return callers.open() + links.unsentBytes() > 0 || home.isBusy();
  }

  function canAccept(waitMs: number): boolean {
    const lagMs = lag.lagMs();
    return stop === undefined || canFinish(stop, { waitMs, lagMs, now: now() });
  }

  const links = acceptLinks({
    home,
    report: home.report,
    status: gossip.status,
    lagMs: lag.lagMs,
    now,
    meter,
    canAccept,
    onGossip: gossip.handleMessage,
    onClosed: gossip.handleClosed,
    isOtherDomain: (domain) => domain !== settings.domain,
    onCallFault: (callId, err) => writeCallFault(log, callId, err),
    onError: (reason, peer) =>
      log.write("fleet", LogLevel.Warn, "incoming link failed", {
        reason,
        peer,
      }),
  });
  const pings = createPingServer({
    match: platform.matchPingCall,
    isReady: () =>
      stop === undefined && routes.table !== undefined && allowance.isReady(),
    onPing: instance.ping,
    onLeave: instance.leave,
  });
  function measureRequests(server: Server, duty: Duty) {
    let work = meter.begin();
    server.prependListener("request", () => work = meter.begin());
    server.on("request", () => meter.end(work, duty));
  }

  const metricsApp = polka().get("/metrics", async (_req, res) => {
    metrics.setReadyEndpoints(countReady(fleet));
    metrics.setHomeCalls(home.countCalls());
    res.end(await metrics.text());
  });

  /** Starts the ticks of the traffic shifts. Most nodes never see an order. */
  function startShiftTimer() {
    shiftTimer ??= setInterval(tickShifts, SHIFT_TICK_MS);
  }

  function tickShifts() {
    const work = meter.begin();
    const peers = gossip.healthyNodes();
    const waitMs = peers.length === 0 ? LEAD_ALONE_AFTER_MS : LEAD_AFTER_MS;
    const mayLead = now() - startedAt >= waitMs &&
      feed.readerStatus() === ReaderStatus.Healthy &&
      stop === undefined;
    const precedingPeers = peers.filter((peer) => peer < settings.node);
    handleShiftEvent({ type: "ran", now: now(), wall: Date.now() });
    handleShiftEvent({
      type: "ticked",
      now: now(),
      rank: mayLead ? precedingPeers.length : undefined,
      exposure: settings.exposure,
      loadOf: (service, version) =>
        sumVersionLoad({
          fleet,
          loadBalancing,
          home,
          service,
          version,
          now: now(),
        }),
    });
    meter.end(work, Duty.Timers);
  }
  const workTimer = setInterval(() => {
    const { user, system } = process.cpuUsage();
    const processorMs = Math.round((user + system) / 1_000);
    const fields = { processorMs, ...meter.summary() };
    log.write("process", LogLevel.Info, "work since the previous line", fields);
  }, WORK_LOG_INTERVAL_MS);

  /** Servers of pings and metrics. */
  const servers: Server[] = [];
  try {
    await listen(callers.server, settings.callerAddress);
    await listen(links.server, settings.node);
    const { pingAddress, readyAddress, metricsAddress } = settings;
    for (const address of new Set([pingAddress, readyAddress])) {
      servers.push(await listenPolka(pings, address));
    }
    servers.push(await listenPolka(metricsApp, metricsAddress));
  } catch (err) {
    await closeParts();
    throw err;
  }
  registration = registerNode({
    settings,
    platform,
    log,
    random,
    onNodes: (nodes) =>
      gossip.applyEvent({ type: "nodes-found", nodes, now: now() }),
    onStopped(stored) {
      instance.recall(stored, false);
      stoppedRecorder.adopt(stored, instance.stopped());
    },
    onStatus: (status) =>
      handleShiftEvent({ type: "status-read", status, now: now() }),
    onOrderTime({ service, target, orderedAt }) {
      // The clocks of nodes differ, so the difference may be negative.
      const elapsedMs = Math.max(0, Date.now() - orderedAt);
      const time = { service, target, elapsedMs };
      handleShiftEvent({ type: "order-time-read", ...time, now: now() });
    },
  });
  // Orders may have arrived before.
  if (trafficShift.shifts.size > 0) registration.readStatuses();
  log.write("process", LogLevel.Info, "sidecar started", {
    pid: process.pid,
    service: settings.service,
  });

  return {
    reload(next) {
      const { budget, exposure, graceMs } = next;
      settings = { ...settings, budget, exposure, graceMs };
      log.write("process", LogLevel.Info, "settings reloaded", {
        budget,
        exposure,
        graceMs,
      });
    },
    rejectReload: (reason) =>
      log.write(
        "process",
        LogLevel.Error,
        "settings not reloaded: new settings are invalid",
        { reason },
      ),
    close: () => closed ??= shutDown(),
  };

  async function shutDown() {
    const requestedAt = now();
    stop = createShutdownState({
      graceMs: settings.graceMs,
      lagMs: lag.lagMs(),
      now: requestedAt,
    });
    log.write("process", LogLevel.Info, "sidecar stopping", {
      open: callers.open(),
      graceMs: settings.graceMs,
      lagMs: Math.round(lag.lagMs()),
    });
    callers.drain(stop);
    home.limitAnswers(stop.times.answerBy);
    for (;;) {
      const event = { type: "ticked", isBusy: isBusy(), now: now() } as const;
      for (const effect of decideShutdown(stop, event)) applyEffect(effect);
      if (stop.phase === ShutdownPhase.Over) break;
      await sleep(SHUTDOWN_TICK_MS);
    }
    const { running, waiting } = home.countCalls();
    log.write("process", LogLevel.Info, "sidecar closing connections", {
      afterMs: Math.round(now() - requestedAt),
      open: callers.open(),
      running,
      waiting,
      unsentLinkBytes: links.unsentBytes(),
    });
    await closeParts();
    log.write("process", LogLevel.Info, "sidecar stopped");
    log.close();
  }

  /** Closes all parts, also those that have not been started. */
  async function closeParts() {
    callers.close();
    clearInterval(shiftTimer);
    clearTimeout(restoreTimer);
    clearInterval(workTimer);
    feed.close();
    recorder.close();
    stoppedRecorder.close();
    instance.close();
    registration?.close();
    control.close();
    allowance.close();
    gossip.close();
    links.close();
    for (const server of servers) {
      server.closeAllConnections();
      server.close();
    }
    lag.close();
    collections.close();
    await home.close();
    await platform.store.close();
  }

  function applyEffect(effect: ShutdownEffect) {
    switch (effect.type) {
      case "withdraw":
        return instance.withdraw();
      case "refuse-remaining":
        return callers.refuseUnsentCalls();
      default:
        exhausted(effect);
    }
  }
}

function listen(server: Server, address: string): Promise<void> {
  const { host, port } = splitAddress(address);
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, () => {
      server.off("error", reject);
      resolve();
    });
  });
}

async function listenPolka(
  app: polka.Polka,
  address: string,
): Promise<Server> {
  const server = createServer((req, res) =>
    void app.handler(req as polka.Request, res)
  );
  await listen(server, address);
  return server;
}

function splitAddress(address: string): { host: string; port: number } {
  const at = address.lastIndexOf(":");
  return { host: address.slice(0, at), port: Number(address.slice(at + 1)) };
}
