/**
 * Gives tokens to what waits for them at a tier, and requests more.
 * @module
 */
import type { Allowance } from "../accounts/state.ts";
import { exhausted } from "../core/exhausted.ts";
import {
  available,
  demandRate,
  hasSpare,
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
  GRANT_MS,
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

/**
 * Time of demand for which tokens are requested ahead. Without spare tokens, it
 * is done only for accounts that surely use them before they expire.
 */
const AHEAD_MS = { spare: 200, scarce: 150 } as const;
const MIN_AHEAD = { spare: 1.5, scarce: 3 } as const;

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
  refill(entry, allowance, state.terms, time);
  while (entry.waiters.length > 0) {
    const waiter = entry.waiters[0] as Waiter;
    const taken = take(entry, countOf(waiter), time);
    if (taken === undefined) break;
    entry.waiters.shift();
    const missing = countOf(waiter) - taken.count;
    const waitMs = missing > 0 ? Math.max(1, waitForMs(missing)) : 0;
    const mayAskMore = entry.parts.length > 0
      ? hasSpare(entry, allowance, state.terms)
      : entry.hasSpare;
    const supply = { waitMs, hasSpare: mayAskMore };
    effects.push(grant(account, waiter, taken, { supply, time }));
  }
  if (mayAsk(tier, entry, time)) {
    const ask = askUpstream(tier, account, entry, time);
    if (ask !== undefined) effects.push(ask);
  }
  if (entry.waiters.length > 0) effects.push(...refuseLate());
  if (entry.waiters.length > 0) tier.waiting.add(account);
  else tier.waiting.delete(account);
  return effects;

  /** Refuses what has waited too long, or would wait too long. */
  function refuseLate(): AllowanceEffect[] {
    const holdMs = HOLD_MS[tier.name];
    const mayCome = isConnected(tier, steady) && entry.shortUntil <= steady;
    const isHopeless = !mayCome && waitForMs(1) > holdMs;
    const isLate = ({ until }: Waiter) => isHopeless || until <= steady;
    const late = entry.waiters.filter(isLate);
    entry.waiters = entry.waiters.filter((waiter) => !isLate(waiter));
    // Those that wait longer are served first.
    const ahead = entry.waiters.reduce((sum, one) => sum + countOf(one), 0);
    const waitMs = mayCome
      ? Math.max(holdMs, waitForMs(ahead + 1))
      : waitForMs(ahead + 1);
    return late.map((waiter) => refuse(account, waiter, waitMs));
  }

  /** Time until this tier can have so many tokens. */
  function waitForMs(count: number): number {
    if (entry.parts.length > 0) {
      const { terms } = state;
      const waitMs = tokenWaitMs(entry, {
        count,
        allowance,
        terms,
        steady,
      });
      return Math.min(MAX_WAIT_MS, Math.max(1, waitMs));
    }
    if (entry.shortUntil > steady) return entry.shortUntil - steady;
    if (isConnected(tier, steady)) return entry.statedWaitMs;
    if (tier.lent !== undefined) return tier.lent.until - steady;
    return hasWaited(state, time)
      ? UNKNOWN_WAIT_MS
      : state.startedAt + START_WAIT_MS + GRANT_MS - steady;
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
  const supply = entry.hasSpare ? "spare" : "scarce";
  const expected = demandRate(entry, steady) * AHEAD_MS[supply];
  const ahead = expected < MIN_AHEAD[supply] ? 0 : Math.max(1, expected);
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
    readonly hasSpare: boolean;
  },
  { steady }: AllowanceTime,
) {
  const { echo, count, lifeMs, waitMs } = grant;
  entry.hasSpare = grant.hasSpare;
  if (count > 0) entry.received.push({ count, until: echo + lifeMs });
  if (entry.asked?.stamp !== echo) return;
  entry.asked = undefined;
  entry.statedWaitMs = waitMs;
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

/** What an answer to an ask states of the tokens that are left. */
interface Supply {
  readonly waitMs: number;
  readonly hasSpare: boolean;
}

function grant(
  account: string,
  waiter: Waiter,
  { count, until }: Taken,
  { supply, time }: { readonly supply: Supply; readonly time: AllowanceTime },
): AllowanceEffect {
  switch (waiter.type) {
    case "request":
      return { type: "admit", key: waiter.key, until };
    case "ask":
      return answer(account, waiter, {
        count,
        lifeMs: Math.max(0, until - time.latest),
        ...supply,
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
      return answer(account, waiter, {
        count: 0,
        lifeMs: 0,
        waitMs,
        hasSpare: false,
      });
    default:
      return exhausted(waiter);
  }
}

function answer(
  account: string,
  waiter: Extract<Waiter, { type: "ask" }>,
  fields: Supply & { readonly count: number; readonly lifeMs: number },
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
