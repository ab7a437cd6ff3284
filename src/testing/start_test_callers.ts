/**
 * Starts the server for callers on loopback, with home nodes that a test plays.
 * A home node is the node on an endpoint's VM.
 * @module
 */
import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import type { TestContext } from "node:test";
import { createCallerServer } from "../callers/create_caller_server.ts";
import { createCallerTimeouts } from "../callers/estimate_age.ts";
import type { CallContext } from "../callers/state.ts";
import type { AttemptEvent, OfferedCall } from "../calls/state.ts";
import type { NodeId } from "../core/types.ts";
import { decideFleet } from "../fleet/decide_fleet.ts";
import { createFleetState } from "../fleet/state.ts";
import { createLoadBalancingState } from "../load_balancing/state.ts";
import { createMetrics } from "../metrics/create_metrics.ts";
import { createWorkMeter } from "../metrics/create_work_meter.ts";
import { createRetryBudgetState } from "../retry_budget/state.ts";
import { adoptTable } from "../routes/adopt_table.ts";
import { createRoutesState, type Route } from "../routes/state.ts";
import type { ShutdownState } from "../shutdown/state.ts";
import { createTrafficShiftState } from "../traffic_shift/state.ts";
import { routeOf, tableOf } from "./route_tables.ts";
import { testDialect } from "./test_dialect.ts";

const SELF = "10.0.0.1:1";
const DOMAIN = "d1";
const SERVICE = "one";

/** Requests of callers go to this host. */
export const CALLER_HOST = "shop.example";

/** A call that was sent to a home node. */
export interface TestAttempt {
  readonly node: NodeId;
  readonly call: OfferedCall;
  readonly emit: (event: AttemptEvent) => void;
  isCancelled: boolean;
  /** Time left that the call's node stated in its shutdown, in milliseconds. */
  limitMs?: number;
}

export interface TestCallers {
  readonly server: Server;
  readonly port: number;
  readonly ctx: CallContext;
  readonly attempts: readonly TestAttempt[];
  /** Makes an endpoint at a home node usable, as its row and its link would. */
  addHome(node: NodeId): void;
  /** Number of calls that wait for a link to a home. */
  waiting(): number;
  /** Checks the API keys of unsent calls by the table in force. */
  recheckUnsentCalls(): void;
  /** Reports to the waiting calls that a link to a home has opened. */
  reportLink(): void;
  /** Begins the node's shutdown. */
  drain(state: ShutdownState): void;
  /** Ends the server, as at the end of a shutdown. */
  close(): void;
}

/** Starts the server and closes it after the test. */
export async function startTestCallers(
  t: TestContext,
  fields: Partial<Route> = {},
  change: Partial<CallContext> = {},
): Promise<TestCallers> {
  const now = () => performance.now();
  const attempts: TestAttempt[] = [];
  const linkWaits = new Set<() => void>();
  const life = { life: "own", startedAt: 0 };
  const fleet = createFleetState({ self: SELF, domain: DOMAIN, ...life });
  const routes = createRoutesState();
  const route = routeOf({ name: "r", timeoutMs: 60_000, ...fields });
  const table = tableOf(1, { "/": SERVICE }, CALLER_HOST);
  const hosts = new Map([[CALLER_HOST, new Map([["/", route]])]]);
  adoptTable(routes, { ...table, hosts });
  const ctx: CallContext = {
    self: SELF,
    domain: DOMAIN,
    service: SERVICE,
    routes,
    trafficShift: createTrafficShiftState({ self: SELF, source: "test" }),
    fleet,
    loadBalancing: createLoadBalancingState(),
    budget: createRetryBudgetState(),
    budgetTerms: () => ({ ratio: 0.2, slack: 100, windowMs: 10_000 }),
    timeouts: createCallerTimeouts(),
    answerBytes: new Map(),
    homes: { homeOf: (node) => ({ attempt: playAttempt.bind(null, node) }) },
    verifyHome: () => {},
    awaitHome(_service, onReady) {
      linkWaits.add(onReady);
      return () => linkWaits.delete(onReady);
    },
    recordDemand: () => {},
    isRunningHere: () => false,
    runMsOf: () => 0,
    deadlineRatioOf: () => undefined,
    recordNestedFailure: () => {},
    countCrashes: () => 0,
    admitAccount: (_account, onResult) =>
      onResult({ type: "admitted", giveBack() {} }),
    ownReport: () => ({ running: 0, waiting: 0, meanMs: 0, routeMs: 0 }),
    unsentBytes: () => 0,
    dialect: testDialect,
    log: { write: () => {}, close: () => {} },
    metrics: createMetrics({ meter: createWorkMeter({ now }) }),
    lagMs: () => 0,
    now,
    random: () => 0.5,
    ...change,
  };

  function playAttempt(
    node: NodeId,
    call: OfferedCall,
    emit: (event: AttemptEvent) => void,
  ) {
    const attempt: TestAttempt = { node, call, emit, isCancelled: false };
    attempts.push(attempt);
    return {
      send() {},
      finish() {},
      limitAnswer: (leftMs: number) => void (attempt.limitMs = leftMs),
      cancel: () => void (attempt.isCancelled = true),
    };
  }

  const callers = createCallerServer({ ctx });
  await new Promise<void>((resolve) =>
    callers.server.listen(0, "127.0.0.1", resolve)
  );
  t.after(() => callers.close());
  return {
    server: callers.server,
    port: (callers.server.address() as AddressInfo).port,
    ctx,
    attempts,
    addHome(node) {
      const endpoint = {
        id: `i-${node}`,
        service: SERVICE,
        version: "v1",
        slots: 4,
        coldMs: 0,
      };
      const row = { node, domain: DOMAIN, ...life, revision: 1, endpoint };
      decideFleet(fleet, { type: "confirmed", row, now: now() });
    },
    waiting: () => linkWaits.size,
    recheckUnsentCalls: callers.recheckUnsentCalls,
    drain: callers.drain,
    close: callers.close,
    reportLink() {
      for (const onReady of [...linkWaits]) onReady();
    },
  };
}
