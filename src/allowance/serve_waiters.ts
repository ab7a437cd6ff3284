/**
 * Gives tokens to what waits for them at a tier, and requests more.
 * @module
 */
import type { Allowance } from "../accounts/state.ts";
import { exhausted } from "../core/exhausted.ts";
import {
  available,
  demandRate,
  refill,
  take,
  type Taken,
  tokenWaitMs,
} from "./bucket.ts";
import { hasWaited } from "./settle_shares.ts";
import {
  type AllowanceEffect,
  type AllowanceState,
  type AllowanceTime,
  type Entry,
  START_WAIT_MS,
  type Tier,
  TierName,
  type Waiter,
} from "./state.ts";

/**
 * Longest time that a request or an ask waits, by tier, in milliseconds. Upper
 * tiers answer in time for the lower ones.
 */
export const HOLD_MS: Readonly<Record<TierName, number>> = {
  node: 100,
  domain: 80,
  fleet: 60,
};

/** Time of demand for which tokens are requested ahead. */
const AHEAD_MS = 150;

/** Below this demand within `AHEAD_MS`, no tokens are requested ahead. */
const MIN_AHEAD = 3;

/** Time after which an ask without an answer is repeated. */
const ASK_TIMEOUT_MS = 150;

/** Time to the next ask after one that was not granted in full. */
const SHORT_ASK_MS = 20;

/** An upstream that has sent no beat for this time is not asked. */
const BEAT_TIMEOUT_MS = 1_000;

/** Retry delay where no time of capacity is known. */
const UNKNOWN_WAIT_MS = 500;

/** Longest retry delay of a refusal. */
const MAX_WAIT_MS = 60_000;

/** Most tokens in one ask. */
const MAX_ASK = 10_000;

/** Serves the waiters of one account. The tier's shares are settled. */
export function serveWaiters(
  state: AllowanceState,
  tier: Tier,
  opts: {
    readonly account: string;
    readonly entry: Entry;
    readonly allowance: Allowance;
    readonly time: AllowanceTime;
  },
): readonly AllowanceEffect[] {
  const { account, entry, allowance, time } = opts;
  const { steady } = time;
  const effects: AllowanceEffect[] = [];
  refill(tier, entry, allowance, state.terms, time);
  while (entry.waiters.length > 0) {
    const waiter = entry.waiters[0] as Waiter;
    const taken = take(entry, countOf(waiter), time);
    if (taken === undefined) break;
    entry.waiters.shift();
    effects.push(grant(account, waiter, taken, time));
  }
  if (mayAsk(tier, entry, time)) {
    const ask = askUpstream(tier, account, entry, time);
    if (ask !== undefined) effects.push(ask);
  }
  effects.push(...refuseLate());
  if (entry.waiters.length > 0) tier.waiting.add(account);
  else tier.waiting.delete(account);
  return effects;

  /** Refuses what has waited too long, or would wait too long. */
  function refuseLate(): AllowanceEffect[] {
    if (entry.waiters.length === 0) return [];
    const waitMs = capacityWaitMs();
    const isHopeless = waitMs > HOLD_MS[tier.name];
    const late = entry.waiters.filter(({ until }) =>
      isHopeless || until <= steady
    );
    entry.waiters = entry.waiters.filter((waiter) => !late.includes(waiter));
    return late.map((waiter) => refuse(account, waiter, waitMs));
  }

  function capacityWaitMs(): number {
    if (entry.shortUntil > steady) return entry.shortUntil - steady;
    if (isConnected(tier, steady)) return 1;
    if (tier.lent !== undefined) return tier.lent.until - steady;
    if (tier.parts.length > 0) {
      const waitMs = tokenWaitMs(tier, entry, allowance, state.terms, time);
      return Math.min(MAX_WAIT_MS, Math.max(1, waitMs));
    }
    return hasWaited(state, time)
      ? UNKNOWN_WAIT_MS
      : state.startedAt + START_WAIT_MS - steady;
  }
}

/** Whether the tier's upstream is known and answers. */
export function isConnected(tier: Tier, steady: number): boolean {
  return tier.upstream !== undefined && steady - tier.beatAt < BEAT_TIMEOUT_MS;
}

function mayAsk(tier: Tier, entry: Entry, { steady }: AllowanceTime): boolean {
  if (!isConnected(tier, steady)) return false;
  if (steady < Math.max(entry.askAfter, entry.shortUntil)) return false;
  const { asked } = entry;
  return asked === undefined || steady - asked.at >= ASK_TIMEOUT_MS;
}

function askUpstream(
  tier: Tier,
  account: string,
  entry: Entry,
  { steady, latest }: AllowanceTime,
): AllowanceEffect | undefined {
  if (tier.upstream === undefined) return undefined;
  let waiting = 0;
  for (const waiter of entry.waiters) waiting += countOf(waiter);
  const expected = demandRate(entry, steady) * AHEAD_MS;
  const ahead = expected < MIN_AHEAD ? 0 : expected;
  const present = available(entry);
  if (waiting === 0 && present >= ahead / 2) return undefined;
  const count = Math.min(MAX_ASK, Math.ceil(waiting + ahead - present));
  if (count < 1) return undefined;
  entry.asked = { stamp: latest, at: steady };
  const upper = tier.name === TierName.Node ? TierName.Domain : TierName.Fleet;
  return {
    type: "send",
    to: tier.upstream,
    message: {
      type: "allowance/ask",
      tier: upper,
      stamp: latest,
      account,
      count,
    },
  };
}

/** Records the answer to an ask. The caller serves the waiters after it. */
export function recordGrant(
  entry: Entry,
  grant: {
    readonly echo: number;
    readonly count: number;
    readonly lifeMs: number;
    readonly waitMs: number;
  },
  { steady }: AllowanceTime,
) {
  const { echo, count, lifeMs, waitMs } = grant;
  if (count > 0) entry.received.push({ count, until: echo + lifeMs });
  if (entry.asked?.stamp !== echo) return;
  entry.asked = undefined;
  if (count > 0) entry.askAfter = steady;
  else entry.shortUntil = steady + Math.min(waitMs, MAX_WAIT_MS);
  if (waitMs > 0) entry.askAfter = steady + SHORT_ASK_MS;
}

function countOf(waiter: Waiter): number {
  switch (waiter.type) {
    case "request":
      return 1;
    case "ask":
      return waiter.count;
    default:
      return exhausted(waiter);
  }
}

function grant(
  account: string,
  waiter: Waiter,
  { count, until }: Taken,
  { latest }: AllowanceTime,
): AllowanceEffect {
  switch (waiter.type) {
    case "request":
      return { type: "admit", key: waiter.key, until };
    case "ask":
      return answer(account, waiter, {
        count,
        lifeMs: Math.max(0, until - latest),
        // A partial grant tells the receiver that there is no more.
        waitMs: count < waiter.count ? 1 : 0,
      });
    default:
      return exhausted(waiter);
  }
}

/** Answers a waiter that gets no token. */
export function refuse(
  account: string,
  waiter: Waiter,
  waitMs: number,
): AllowanceEffect {
  switch (waiter.type) {
    case "request":
      return { type: "refuse", key: waiter.key, waitMs };
    case "ask":
      return answer(account, waiter, { count: 0, lifeMs: 0, waitMs });
    default:
      return exhausted(waiter);
  }
}

function answer(
  account: string,
  waiter: Extract<Waiter, { type: "ask" }>,
  fields: {
    readonly count: number;
    readonly lifeMs: number;
    readonly waitMs: number;
  },
): AllowanceEffect {
  const tier = waiter.to === TierName.Node ? TierName.Node : TierName.Domain;
  return {
    type: "send",
    to: waiter.from,
    message: {
      type: "allowance/grant",
      tier,
      echo: waiter.stamp,
      account,
      ...fields,
    },
  };
}
