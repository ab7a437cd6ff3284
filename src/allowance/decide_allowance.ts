/**
 * Decides which requests of an account a node admits.
 *
 * The rate and burst of each account are divided among all nodes. Shares are
 * leased to the allocator of the failure domain, and from there to the fleet's
 * allocator, which generates tokens from them and grants them where there is
 * demand. A share generates tokens at one place at a time, and tokens that may
 * be in use count toward the capacity of the bucket that they come from. So all
 * tokens together never exceed those of one bucket of the account.
 * @module
 */
import { exhausted } from "../core/exhausted.ts";
import type { NodeId } from "../core/types.ts";
import { capacityOf, createEntry, recordDemand, refill } from "./bucket.ts";
import type { AllowanceMessage, LowerTier } from "./messages.ts";
import { keepShares } from "./keep_shares.ts";
import {
  HOLD_MS,
  isConnected,
  recordGrant,
  refuse,
  serveWaiters,
} from "./serve_waiters.ts";
import {
  hasWaited,
  heldShare,
  settleEntry,
  settleShares,
  sumShares,
} from "./settle_shares.ts";
import {
  type AllowanceEffect,
  type AllowanceEvent,
  type AllowanceState,
  type AllowanceTime,
  type Entry,
  FLEET_LEASE_MS,
  NODE_LEASE_MS,
  type Tier,
  TierName,
  type Waiter,
} from "./state.ts";

/** Time between joins to an upstream that sends no beats. */
const JOIN_INTERVAL_MS = 250;

/**
 * Time between beats of an allocator to its lenders, of which a domain's
 * allocator has as many as the domain has nodes.
 */
const BEAT_INTERVAL_MS = { node: Infinity, domain: 200, fleet: 100 } as const;

/** Time between searches for entries without demand. */
const SWEEP_INTERVAL_MS = 1_000;

/** Entries without demand for this time are removed once they are full. */
const IDLE_MS = 10_000;

/** Limit on the requests of one account that wait at a tier. */
const MAX_WAITERS = 1_000;

/** Applies one event and returns the effects to carry out. */
export function decideAllowance(
  state: AllowanceState,
  event: AllowanceEvent,
): readonly AllowanceEffect[] {
  const { time } = event;
  for (const tier of Object.values(state.tiers)) {
    settleShares(state, tier, time);
  }
  switch (event.type) {
    case "requested": {
      const { key } = event;
      const until = time.steady + HOLD_MS.node;
      const waiter = { type: "request", key, until } as const;
      return addWaiter(state, state.tiers.node, event.account, waiter, time);
    }
    case "returned": {
      const entry = state.tiers.node.entries.get(event.account);
      if (entry === undefined || event.until <= time.latest) return [];
      entry.received.push({ count: 1, until: event.until });
      return serveAccount(state, state.tiers.node, event.account, time);
    }
    case "received":
      return receive(state, event.from, event.message, time);
    case "accounts-changed":
      state.accounts = event.accounts;
      return [];
    case "fleet-changed": {
      const { node, domain } = state.tiers;
      state.nodeCount = event.nodeCount;
      setUpstream(node, event.domain);
      setUpstream(domain, event.fleet);
      return [];
    }
    case "ticked":
      return tick(state, time);
    default:
      return exhausted(event);
  }
}

function setUpstream(tier: Tier, upstream: NodeId | undefined) {
  if (tier.upstream === upstream) return;
  tier.upstream = upstream;
  tier.beatAt = -Infinity;
  tier.joinedAt = -Infinity;
}

function receive(
  state: AllowanceState,
  from: NodeId,
  message: AllowanceMessage,
  time: AllowanceTime,
): readonly AllowanceEffect[] {
  const tier = state.tiers[message.tier];
  switch (message.type) {
    case "allowance/join": {
      // An earlier process of this allocator may hold the sender's share.
      if (!hasWaited(state, time)) return [];
      const known = tier.lenders.get(from);
      tier.lenders.set(from, {
        ...known ?? { share: 0, until: -Infinity, kept: new Map() },
        heardAt: time.steady,
      });
      return [beat(tier, from, time)];
    }
    case "allowance/beat":
      return lease(state, tier, from, message.stamp, time);
    case "allowance/lease":
      receiveLease(state, tier, from, message, time);
      return [];
    case "allowance/ask": {
      const { account, count, stamp } = message;
      const to = message.tier === TierName.Domain
        ? TierName.Node
        : TierName.Domain;
      const until = time.steady + HOLD_MS[tier.name];
      const waiter = { type: "ask", from, to, stamp, count, until } as const;
      return addWaiter(state, tier, account, waiter, time);
    }
    case "allowance/grant": {
      const entry = entryOf(state, tier, message.account, time);
      if (entry === undefined) return [];
      recordGrant(entry, message, time);
      return serveAccount(state, tier, message.account, time);
    }
    default:
      return exhausted(message);
  }
}

function receiveLease(
  state: AllowanceState,
  tier: Tier,
  from: NodeId,
  message: Extract<AllowanceMessage, { type: "allowance/lease" }>,
  time: AllowanceTime,
) {
  const until = message.echo + message.termMs;
  if (until <= time.latest) return;
  const { share } = message;
  const kept = new Map(message.kept);
  // Entries that do not exist would be created as if nothing were kept.
  for (const account of kept.keys()) entryOf(state, tier, account, time);
  const accounts = new Set(kept.keys());
  for (const account of tier.lenders.get(from)?.kept.keys() ?? []) {
    accounts.add(account);
  }
  tier.lenders.set(from, { share, until, heardAt: time.steady, kept });
  settleShares(state, tier, time);
  for (const account of accounts) {
    const entry = tier.entries.get(account);
    if (entry !== undefined) settleEntry(tier, account, entry, time);
  }
}

/** Leases shares of the tier to its upstream, which sent a beat. */
function lease(
  state: AllowanceState,
  tier: Tier,
  from: NodeId,
  echo: number,
  time: AllowanceTime,
): readonly AllowanceEffect[] {
  if (from !== tier.upstream) return [];
  tier.beatAt = time.steady;
  // Until an earlier lease has expired, its holder uses the share.
  if (tier.lent !== undefined && tier.lent.to !== from) return [];
  const isNode = tier.name === TierName.Node;
  const termMs = isNode ? NODE_LEASE_MS : FLEET_LEASE_MS;
  const share = heldShare(state, tier, time, termMs);
  if (share === 0) return [];
  const until = time.steady + termMs;
  tier.lent = { to: from, until };
  const kept = isNode ? [] : keepShares(state, tier, until, time);
  settleShares(state, tier, time);
  for (const [account, entry] of tier.entries) {
    settleEntry(tier, account, entry, time);
  }
  const upper = isNode ? TierName.Domain : TierName.Fleet;
  return [{
    type: "send",
    to: from,
    message: {
      type: "allowance/lease",
      tier: upper,
      echo,
      share: Math.min(1, share),
      termMs,
      kept,
    },
  }];
}

function addWaiter(
  state: AllowanceState,
  tier: Tier,
  account: string,
  waiter: Waiter,
  time: AllowanceTime,
): readonly AllowanceEffect[] {
  const entry = entryOf(state, tier, account, time);
  if (entry !== undefined) {
    const count = waiter.type === "ask" ? waiter.count : 1;
    recordDemand(entry, count, time.steady);
    if (entry.waiters.length >= MAX_WAITERS) {
      return [refuse(account, waiter, HOLD_MS[tier.name])];
    }
    entry.waiters.push(waiter);
    return serveAccount(state, tier, account, time);
  }
  // An account without a limit is not known here: its table is newer or older.
  return waiter.type === "request"
    ? [{ type: "admit", key: waiter.key, until: -Infinity }]
    : [];
}

function entryOf(
  state: AllowanceState,
  tier: Tier,
  account: string,
  time: AllowanceTime,
): Entry | undefined {
  const known = tier.entries.get(account);
  const allowance = state.accounts.get(account)?.allowance;
  if (known !== undefined || allowance === undefined) return known;
  const entry = createEntry(tier, allowance, state.terms, time);
  tier.entries.set(account, entry);
  return entry;
}

function serveAccount(
  state: AllowanceState,
  tier: Tier,
  account: string,
  time: AllowanceTime,
): readonly AllowanceEffect[] {
  const entry = tier.entries.get(account);
  if (entry === undefined) return [];
  const allowance = state.accounts.get(account)?.allowance;
  if (allowance === undefined) return removeEntry(tier, account, entry);
  settleEntry(tier, account, entry, time);
  return serveWaiters(state, tier, { account, entry, allowance, time });
}

/** Removes an account that the table no longer limits. */
function removeEntry(
  tier: Tier,
  account: string,
  entry: Entry,
): readonly AllowanceEffect[] {
  tier.entries.delete(account);
  tier.waiting.delete(account);
  return entry.waiters.flatMap((waiter) =>
    waiter.type === "request"
      ? [{ type: "admit", key: waiter.key, until: -Infinity } as const]
      : []
  );
}

function tick(
  state: AllowanceState,
  time: AllowanceTime,
): readonly AllowanceEffect[] {
  const effects: AllowanceEffect[] = [];
  for (const tier of Object.values(state.tiers)) {
    for (const account of [...tier.waiting]) {
      effects.push(...serveAccount(state, tier, account, time));
    }
    effects.push(...join(tier, time), ...sendBeats(tier, time));
  }
  if (time.steady - state.sweptAt >= SWEEP_INTERVAL_MS) {
    state.sweptAt = time.steady;
    for (const tier of Object.values(state.tiers)) sweep(state, tier, time);
  }
  return effects;
}

function join(
  tier: Tier,
  { steady }: AllowanceTime,
): readonly AllowanceEffect[] {
  const { upstream } = tier;
  if (upstream === undefined || isConnected(tier, steady)) return [];
  if (tier.name === TierName.Domain && tier.lenders.size === 0) return [];
  if (steady - tier.joinedAt < JOIN_INTERVAL_MS) return [];
  tier.joinedAt = steady;
  const upper = tier.name === TierName.Node ? TierName.Domain : TierName.Fleet;
  const message = { type: "allowance/join", tier: upper } as const;
  return [{ type: "send", to: upstream, message }];
}

function sendBeats(tier: Tier, time: AllowanceTime): AllowanceEffect[] {
  const sinceMs = time.steady - tier.beatSentAt;
  if (sinceMs < BEAT_INTERVAL_MS[tier.name]) return [];
  tier.beatSentAt = time.steady;
  return [...tier.lenders.keys()].map((node) => beat(tier, node, time));
}

function beat(tier: Tier, to: NodeId, time: AllowanceTime): AllowanceEffect {
  const lower: LowerTier = tier.name === TierName.Fleet
    ? TierName.Domain
    : TierName.Node;
  return {
    type: "send",
    to,
    message: { type: "allowance/beat", tier: lower, stamp: time.latest },
  };
}

/** Removes entries that equal those which `createEntry` would create. */
function sweep(state: AllowanceState, tier: Tier, time: AllowanceTime) {
  for (const [account, entry] of tier.entries) {
    if (time.steady - entry.demandAt < IDLE_MS) continue;
    const allowance = state.accounts.get(account)?.allowance;
    if (allowance === undefined) {
      removeEntry(tier, account, entry);
      continue;
    }
    const isKept = [...tier.lenders.values()].some(({ kept }) =>
      kept.has(account)
    );
    if (isKept || entry.kept.some(({ ratio }) => ratio > 0)) continue;
    settleEntry(tier, account, entry, time);
    refill(entry, allowance, state.terms, time);
    const capacity = sumShares(entry.parts) *
      capacityOf(allowance, state.terms);
    if (entry.level >= capacity) tier.entries.delete(account);
  }
}
