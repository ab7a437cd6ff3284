/**
 * Simulates nodes that limit the requests of accounts, without a network.
 * @module
 */
import type { Account, Allowance } from "../accounts/state.ts";
import { chooseAllocators } from "../allowance/choose_allocators.ts";
import { refill } from "../allowance/bucket.ts";
import { decideAllowance } from "../allowance/decide_allowance.ts";
import type { AllowanceMessage } from "../allowance/messages.ts";
import { settleEntry, settleShares } from "../allowance/settle_shares.ts";
import {
  type AllowanceEffect,
  type AllowanceEvent,
  type AllowanceState,
  type AllowanceTerms,
  type AllowanceTime,
  createAllowanceState,
} from "../allowance/state.ts";

const TICK_MS = 25;

/** Longest time in which a node learns of other nodes and of their loss. */
const NEWS_MS = 1_000;

/** Time for which a process counts as new. */
const NEW_MS = 5_000;

/** Options of `createAllowanceSimulation`. */
export interface CreateAllowanceSimulationOptions {
  readonly nodes: number;
  readonly domains: number;
  readonly terms: AllowanceTerms;
  readonly allowances: Readonly<Record<string, Allowance>>;
  readonly random: () => number;
  /** Fraction of messages that are lost, or late by up to 2 s. */
  readonly lossShare?: number;
  readonly lateShare?: number;
  /** Fraction of admitted requests that are returned. */
  readonly returnShare?: number;
  /** Called with each message between two nodes. */
  readonly onMessage?: (sent: SimulatedMessage) => void;
}

export interface SimulatedMessage {
  readonly from: string;
  readonly to: string;
  readonly crosses: boolean;
  readonly message: AllowanceMessage;
}

interface SimulatedNode {
  readonly id: string;
  readonly domain: number;
  state: AllowanceState;
  isRunning: boolean;
  /** Count of the process starts; events of an earlier process are dropped. */
  life: number;
  startedAt: number;
  frozenUntil: number;
  /** Time for which the monotonic clock stood still. */
  suspendedMs: number;
  newsAt: number;
  readonly known: Set<SimulatedNode>;
}

export interface Outcome {
  readonly account: string;
  readonly sentAt: number;
  readonly endedAt: number;
  readonly isAdmitted: boolean;
}

export type AllowanceSimulation = ReturnType<typeof createAllowanceSimulation>;

/** Creates nodes that all start at once and know of each other. */
export function createAllowanceSimulation(
  opts: CreateAllowanceSimulationOptions,
) {
  const { random, terms } = opts;
  let now = 0;
  let nextKey = 0;
  const events: { at: number; order: number; run: () => void }[] = [];
  const outcomes: Outcome[] = [];
  const requests = new Map<number, { account: string; sentAt: number }>();
  const sent = { messages: 0, crossing: 0 };
  /** Domains that are cut off from all others. */
  const cut = new Set<number>();
  const nodes: SimulatedNode[] = [];
  let accounts = accountsOf(opts.allowances);

  function schedule(at: number, run: () => void) {
    const event = { at, order: nextKey++, run };
    let low = 0;
    let high = events.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      const other = events[middle] as typeof event;
      if (other.at > at || (other.at === at && other.order > event.order)) {
        low = middle + 1;
      } else high = middle;
    }
    events.splice(low, 0, event);
  }

  function timeOf(node: SimulatedNode): AllowanceTime {
    return { steady: now - node.suspendedMs, latest: now };
  }

  function createState(id: string, time: AllowanceTime): AllowanceState {
    const state = createAllowanceState({ self: id, terms, time });
    state.accounts = accounts;
    return state;
  }

  function addNode(domain: number): SimulatedNode {
    const id = `10.${domain}.0.${nodes.length}:1`;
    const node: SimulatedNode = {
      id,
      domain,
      state: createState(id, { steady: now, latest: now }),
      isRunning: true,
      life: 0,
      startedAt: now,
      frozenUntil: 0,
      suspendedMs: 0,
      newsAt: now,
      known: new Set(),
    };
    nodes.push(node);
    start(node);
    return node;
  }

  function start(node: SimulatedNode) {
    const { life } = node;
    node.startedAt = now;
    node.newsAt = now;
    for (const other of nodes) node.known.add(other);
    const step = () => {
      if (node.life !== life) return;
      if (node.isRunning) whenAwake(node, () => tick(node));
      schedule(now + TICK_MS, step);
    };
    schedule(now + random() * TICK_MS, step);
  }

  /** Runs at once, or at the end of the node's freeze. */
  function whenAwake(node: SimulatedNode, run: () => void) {
    if (node.frozenUntil <= now) return run();
    const { life } = node;
    schedule(node.frozenUntil, () => {
      if (node.life === life && node.isRunning) run();
    });
  }

  function tick(node: SimulatedNode) {
    if (now >= node.newsAt) {
      node.newsAt = now + random() * NEWS_MS;
      for (const other of nodes) {
        if (isReachable(node, other)) node.known.add(other);
      }
      const { domain, fleet, nodeCount } = chooseAllocators({
        self: node.id,
        domain: String(node.domain),
        domainCount: opts.domains,
        isNew: now - node.startedAt < NEW_MS,
        known: [...node.known].map((other) => ({
          node: other.id,
          domain: String(other.domain),
          isLive: isReachable(node, other),
        })),
      });
      apply(node, { type: "fleet-changed", nodeCount, domain, fleet });
    }
    apply(node, { type: "ticked" });
  }

  function isReachable(a: SimulatedNode, b: SimulatedNode): boolean {
    if (!a.isRunning || !b.isRunning) return false;
    return a.domain === b.domain || !(cut.has(a.domain) || cut.has(b.domain));
  }

  type Untimed<T> = T extends unknown ? Omit<T, "time"> : never;

  function apply(node: SimulatedNode, event: Untimed<AllowanceEvent>) {
    const timed = { ...event, time: timeOf(node) } as AllowanceEvent;
    for (const effect of decideAllowance(node.state, timed)) {
      carryOut(node, effect);
    }
  }

  function carryOut(node: SimulatedNode, effect: AllowanceEffect) {
    if (effect.type === "send") {
      const { to, message } = effect;
      const peer = nodes.find(({ id }) => id === to) as SimulatedNode;
      const isLocal = peer === node;
      const crosses = peer.domain !== node.domain;
      if (!isLocal) sent.messages++;
      if (crosses) sent.crossing++;
      if (!isLocal) opts.onMessage?.({ from: node.id, to, crosses, message });
      if (!isLocal && random() < (opts.lossShare ?? 0)) return;
      const lateMs = random() < (opts.lateShare ?? 0) ? random() * 2_000 : 0;
      const delayMs = isLocal ? 0 : lateMs + random() * (crosses ? 8 : 2);
      const { life } = peer;
      schedule(now + delayMs, () => {
        if (!isReachable(node, peer) || peer.life !== life) return;
        whenAwake(
          peer,
          () => apply(peer, { type: "received", from: node.id, message }),
        );
      });
      return;
    }
    const request = requests.get(effect.key);
    if (request === undefined) throw new Error("answered twice");
    requests.delete(effect.key);
    const isAdmitted = effect.type === "admit";
    const { account } = request;
    const { life } = node;
    if (isAdmitted && random() < (opts.returnShare ?? 0)) {
      const { until } = effect;
      schedule(now + random() * 200, () => {
        if (node.life !== life || !node.isRunning) return;
        whenAwake(
          node,
          () => apply(node, { type: "returned", account, until }),
        );
      });
      return;
    }
    outcomes.push({ ...request, endedAt: now, isAdmitted });
  }

  for (let index = 0; index < opts.nodes; index++) {
    addNode(index % opts.domains);
  }
  for (const node of nodes) for (const other of nodes) node.known.add(other);

  return {
    nodes,
    outcomes,
    sent,
    now: () => now,
    /** Shares in use, and tokens of an account, at all nodes that run now. */
    inUse(
      account: string,
    ): { readonly share: number; readonly tokens: number } {
      let share = 0;
      let tokens = 0;
      for (const node of nodes) {
        if (!node.isRunning || node.frozenUntil > now) continue;
        const time = timeOf(node);
        const { allowance } = node.state.accounts.get(account) as Account;
        for (const tier of Object.values(node.state.tiers)) {
          settleShares(node.state, tier, time);
          const entry = tier.entries.get(account);
          if (entry !== undefined) settleEntry(tier, account, entry, time);
          for (const part of (entry ?? tier).parts) {
            if (part.since <= time.steady) share += part.share;
          }
          if (entry === undefined) continue;
          refill(entry, allowance as Allowance, terms, time);
          tokens += entry.level;
          for (const { count } of entry.received) tokens += count;
        }
      }
      return { share, tokens };
    },
    /** Index of the allocator of the first node's domain, or of the fleet. */
    allocatorIndex(isFleet: boolean) {
      const { tiers } = (nodes[0] as SimulatedNode).state;
      const id = (isFleet ? tiers.domain : tiers.node).upstream;
      return Math.max(0, nodes.findIndex((node) => node.id === id));
    },
    request(index: number, account: string) {
      const node = nodes[index % nodes.length] as SimulatedNode;
      if (!node.isRunning) return;
      const key = nextKey++;
      requests.set(key, { account, sentAt: now });
      whenAwake(node, () => apply(node, { type: "requested", account, key }));
    },
    kill(index: number) {
      const node = nodes[index % nodes.length] as SimulatedNode;
      node.isRunning = false;
      node.life++;
    },
    restart(index: number) {
      const node = nodes[index % nodes.length] as SimulatedNode;
      if (node.isRunning) return;
      node.isRunning = true;
      node.frozenUntil = 0;
      node.state = createState(node.id, timeOf(node));
      start(node);
    },
    /** Freezes a node; with `isSuspended`, its monotonic clock too. */
    freeze(index: number, ms: number, isSuspended: boolean) {
      const node = nodes[index % nodes.length] as SimulatedNode;
      if (node.frozenUntil > now) return;
      node.frozenUntil = now + ms;
      if (isSuspended) node.suspendedMs += ms;
    },
    cut: (domain: number) => cut.add(domain % opts.domains),
    heal: () => cut.clear(),
    join: (domain: number) => addNode(domain % opts.domains),
    /** Changes the limits; each node adopts them within 500 ms. */
    limit(allowances: Readonly<Record<string, Allowance>>) {
      accounts = accountsOf(allowances);
      for (const node of nodes) {
        const { life } = node;
        schedule(now + random() * 500, () => {
          if (node.life !== life || !node.isRunning) return;
          const adopted = accounts;
          whenAwake(
            node,
            () => apply(node, { type: "accounts-changed", accounts: adopted }),
          );
        });
      }
    },
    runUntil(end: number) {
      for (let next = events.at(-1); next && next.at <= end;) {
        events.pop();
        now = Math.max(now, next.at);
        next.run();
        next = events.at(-1);
      }
      now = end;
    },
  };
}

function accountsOf(
  allowances: Readonly<Record<string, Allowance>>,
): ReadonlyMap<string, Account> {
  return new Map(
    Object.entries(allowances).map(([name, allowance]) => [
      name,
      { name, urgency: 1, allowance },
    ]),
  );
}
