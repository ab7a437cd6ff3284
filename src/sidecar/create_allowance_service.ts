/**
 * Limits the requests of client accounts: runs the decision, sends its messages
 * and keeps the node informed of the allocators. Without an account that has an
 * allowance, it has no timers, messages or links.
 * @module
 */
import type { Account, AccountTable } from "../accounts/state.ts";
import {
  type Allocators,
  chooseAllocators,
  type KnownNode,
} from "../allowance/choose_allocators.ts";
import { decideAllowance } from "../allowance/decide_allowance.ts";
import type { AllowanceMessage } from "../allowance/messages.ts";
import {
  type AllowanceEffect,
  type AllowanceEvent,
  type AllowanceTerms,
  type AllowanceTime,
  createAllowanceState,
  GRANT_MS,
  START_WAIT_MS,
} from "../allowance/state.ts";
import { isConnected } from "../allowance/serve_waiters.ts";
import { exhausted } from "../core/exhausted.ts";
import type { MonotonicMs, NodeId, WallMs } from "../core/types.ts";
import { type FleetState, isLive } from "../fleet/state.ts";
import { type Log, LogLevel } from "../logs/create_log.ts";
import { type Metrics, QuotaResult } from "../metrics/create_metrics.ts";
import { Duty, type WorkMeter } from "../metrics/create_work_meter.ts";

/**
 * Time between ticks: of an allocator, which has to be on time for its lenders,
 * of other nodes, and while something waits for tokens. Each wake-up has a cost.
 */
const TICK_MS = { allocator: 50, other: 150, waiting: 10 } as const;

/** Time between choices of the allocators. */
const CHOOSE_INTERVAL_MS = 500;

/** Time in which a process that has started hears of all other nodes. */
const NEW_PROCESS_MS = 5_000;

const NO_NODES: ReadonlySet<NodeId> = new Set();

/** Whether a request of an account may be served. */
export type AllowanceResult =
  | {
    readonly type: "admitted";
    /** Called if the request is certain not to have reached an endpoint. */
    readonly giveBack: () => void;
  }
  | { readonly type: "refused"; readonly waitMs: number };

/** Options of `createAllowanceService`. */
export interface CreateAllowanceServiceOptions {
  readonly self: NodeId;
  readonly domain: string;
  readonly domainCount: number;
  /** Undefined: accounts are not limited. */
  readonly terms: AllowanceTerms | undefined;
  readonly fleet: FleetState;
  readonly send: (to: NodeId, message: AllowanceMessage) => void;
  readonly log: Log;
  readonly metrics: Pick<Metrics, "countQuota" | "countQuotaMessage">;
  readonly meter: WorkMeter;
  readonly now: () => MonotonicMs;
  readonly wall: () => WallMs;
}

export interface AllowanceService {
  /** Adopts the accounts of a new route table, if it has any. */
  adoptAccounts(accounts: Pick<AccountTable, "byName"> | undefined): void;
  /**
   * Requests a token for a request. Calls back once, at once or within 100 ms.
   */
  admit(account: string, onResult: (result: AllowanceResult) => void): void;
  receive(from: NodeId, message: AllowanceMessage): void;
  /**
   * Whether requests can get tokens. False for up to 1.3 s after the start of
   * the process, while leases of an earlier process may be in force.
   */
  isReady(): boolean;
  /** Nodes that this node exchanges messages with and needs links to. */
  allocators(): ReadonlySet<NodeId>;
  close(): void;
}

interface OpenRequest {
  readonly account: string;
  readonly onResult: (result: AllowanceResult) => void;
  /** Whether the request has waited for an answer. */
  hasWaited: boolean;
}

type Untimed<T> = T extends unknown ? Omit<T, "time"> : never;

/** Creates the service. Nothing runs until an account has an allowance. */
export function createAllowanceService(
  opts: CreateAllowanceServiceOptions,
): AllowanceService {
  const { self, terms, fleet, log, metrics, meter } = opts;
  if (terms === undefined) return createUnlimited();
  const readTime = createClocks(opts);
  const startedAt = opts.now();
  const state = createAllowanceState({ self, terms, time: readTime() });
  const open = new Map<number, OpenRequest>();
  /** Messages of this node to itself, which it handles in turn. */
  const ownMessages: AllowanceMessage[] = [];
  let accounts: ReadonlyMap<string, Account> = new Map();
  let nextKey = 0;
  let timer: NodeJS.Timeout | undefined;
  let waitTimer: NodeJS.Timeout | undefined;
  let chosen: Allocators | undefined;
  let chosenAt = -Infinity;
  let linked = NO_NODES;
  /** Allocator to which the node's share was last seen leased. */
  let lentTo: NodeId | undefined;

  function apply(event: Untimed<AllowanceEvent>) {
    decide(event);
    for (let own = ownMessages.shift(); own; own = ownMessages.shift()) {
      decide({ type: "received", from: self, message: own });
    }
    const isWaiting = open.size > 0 || state.tiers.domain.waiting.size > 0 ||
      state.tiers.fleet.waiting.size > 0;
    if (isWaiting && timer !== undefined) {
      waitTimer ??= setTimeout(tickWaiting, TICK_MS.waiting);
    } else {
      // Most tokens come within a few milliseconds.
      clearTimeout(waitTimer);
      waitTimer = undefined;
    }
  }

  function decide(event: Untimed<AllowanceEvent>) {
    const timed = { ...event, time: readTime() } as AllowanceEvent;
    for (const effect of decideAllowance(state, timed)) carryOut(effect);
  }

  function carryOut(effect: AllowanceEffect) {
    switch (effect.type) {
      case "send": {
        const { to, message } = effect;
        if (to === self) return void ownMessages.push(message);
        metrics.countQuotaMessage(message.type);
        return opts.send(to, message);
      }
      case "admit": {
        const { key, until } = effect;
        return answer(key, QuotaResult.Admitted, (account) => ({
          type: "admitted",
          giveBack() {
            metrics.countQuota(QuotaResult.Returned);
            apply({ type: "returned", account, until });
          },
        }));
      }
      case "refuse": {
        const { key, waitMs } = effect;
        return answer(
          key,
          QuotaResult.Refused,
          () => ({ type: "refused", waitMs }),
        );
      }
      default:
        exhausted(effect);
    }
  }

  function answer(
    key: number,
    result: QuotaResult,
    describe: (account: string) => AllowanceResult,
  ) {
    const request = open.get(key);
    if (request === undefined) return;
    open.delete(key);
    metrics.countQuota(result);
    if (request.hasWaited) metrics.countQuota(QuotaResult.Waited);
    request.onResult(describe(request.account));
  }

  function tick() {
    const work = meter.begin();
    if (opts.now() - chosenAt >= CHOOSE_INTERVAL_MS) choose();
    apply({ type: "ticked" });
    logLease();
    if (timer !== undefined) {
      clearTimeout(timer);
      timer = setTimeout(tick, tickMs());
    }
    meter.end(work, Duty.Timers);
  }

  function tickMs(): number {
    const { domain, fleet: upper } = state.tiers;
    const isAllocator = domain.lenders.size + upper.lenders.size > 0;
    return isAllocator ? TICK_MS.allocator : TICK_MS.other;
  }

  /** Logs where this node's share is used, when that changes. */
  function logLease() {
    const { lent } = state.tiers.node;
    if (lent?.to === lentTo) return;
    lentTo = lent?.to;
    const text = lent === undefined
      ? "share of quotas is used by this node"
      : "share of quotas is leased to its allocator";
    log.write("fleet", LogLevel.Info, text, { allocator: lentTo });
  }

  function tickWaiting() {
    waitTimer = undefined;
    tick();
  }

  function choose() {
    chosenAt = opts.now();
    const { domain, domainCount } = opts;
    const isNew = chosenAt - startedAt < NEW_PROCESS_MS;
    const known = listKnown(fleet);
    const next = chooseAllocators({ self, domain, domainCount, known, isNew });
    const nodes = [next.domain];
    if (next.domain === self || state.tiers.domain.lenders.size > 0) {
      nodes.push(next.fleet);
    }
    linked = new Set(nodes.filter((node) => node !== self));
    apply({ type: "fleet-changed", ...next });
    const isUnchanged = chosen?.domain === next.domain &&
      chosen.fleet === next.fleet;
    chosen = next;
    if (isUnchanged) return;
    log.write("fleet", LogLevel.Info, "allocators of quotas chosen", {
      ...next,
    });
  }

  function start() {
    if (timer !== undefined) return;
    timer = setTimeout(tick, TICK_MS.allocator);
    choose();
  }

  function stop() {
    clearTimeout(timer);
    clearTimeout(waitTimer);
    timer = undefined;
    waitTimer = undefined;
    linked = NO_NODES;
  }

  return {
    adoptAccounts(table) {
      accounts = table?.byName ?? new Map();
      apply({ type: "accounts-changed", accounts });
      const isLimited = [...accounts.values()].some(({ allowance }) =>
        allowance !== undefined
      );
      if (isLimited) return start();
      if (timer === undefined) return;
      // Answers the requests that wait.
      tick();
      stop();
    },
    admit(account, onResult) {
      if (accounts.get(account)?.allowance === undefined) {
        return onResult({ type: "admitted", giveBack() {} });
      }
      const key = nextKey++;
      const request: OpenRequest = { account, onResult, hasWaited: false };
      open.set(key, request);
      apply({ type: "requested", account, key });
      request.hasWaited = true;
    },
    receive(from, message) {
      if (timer !== undefined) apply({ type: "received", from, message });
    },
    isReady() {
      if (timer === undefined) return true;
      const now = opts.now();
      return now - startedAt >= START_WAIT_MS + GRANT_MS ||
        isConnected(state.tiers.node, now);
    },
    allocators: () => linked,
    close: stop,
  };
}

/** The service of a deployment whose settings state no limits. */
function createUnlimited(): AllowanceService {
  return {
    adoptAccounts() {},
    admit: (_account, onResult) =>
      onResult({ type: "admitted", giveBack() {} }),
    receive() {},
    isReady: () => true,
    allocators: () => NO_NODES,
    close() {},
  };
}

/** Lists all known nodes, also lost ones and those that the store lists. */
function* listKnown(fleet: FleetState): Generator<KnownNode> {
  for (const [node, { row }] of fleet.rows) {
    yield { node, domain: row.domain, isLive: isLive(fleet, node) };
  }
  for (const [node, domain] of fleet.seeds) {
    if (!fleet.rows.has(node)) yield { node, domain, isLive: false };
  }
}

/** Returns a function that reads both clocks of the decision. */
function createClocks(
  { now, wall }: Pick<CreateAllowanceServiceOptions, "now" | "wall">,
): () => AllowanceTime {
  let steady = now();
  let wallAt = wall();
  let latest = steady;
  return () => {
    const nextSteady = now();
    const nextWall = wall();
    latest += Math.max(nextSteady - steady, nextWall - wallAt);
    steady = nextSteady;
    wallAt = nextWall;
    return { steady, latest };
  };
}
