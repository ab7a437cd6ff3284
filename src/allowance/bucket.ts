/**
 * The token bucket of an account at a tier.
 * @module
 */
import type { Allowance } from "../accounts/state.ts";
import type { MonotonicMs } from "../core/types.ts";
import { sumShares } from "./settle_shares.ts";
import {
  type AllowanceTerms,
  type AllowanceTime,
  type Batch,
  type Entry,
  GRANT_MS,
  type Tier,
} from "./state.ts";

/**
 * Fractions of the permitted excess of a window that buckets use, as a higher
 * rate and as a higher capacity. An account with steady demand may send its rate
 * and its burst in each window, so it needs the excess as a rate. The rest
 * covers nodes that joined and are not known everywhere (one of 14 adds 7% to
 * all shares), and requests that wait to be read.
 */
const RATE_SHARES = { overage: 0.75, slack: 0.5 } as const;
const CAPACITY_SLACK_SHARE = 0.4;

/** Fraction of its capacity above which a bucket has tokens to spare. */
const SPARE_SHARE = 0.5;

/** Time constant of the demand estimate. */
const DEMAND_MS = 500;

/** Grants that expire within this time of each other are counted together. */
const MERGE_MS = 25;

/** Tokens taken from a bucket. */
export interface Taken {
  readonly count: number;
  /** Expiry on the `latest` clock. */
  readonly until: number;
}

/** Capacity of the whole fleet's bucket of an account. */
export function capacityOf(
  { burst }: Allowance,
  { slack }: AllowanceTerms,
): number {
  return burst + CAPACITY_SLACK_SHARE * slack;
}

/** Tokens that the whole fleet's bucket of an account generates per second. */
export function rateOf(
  { perSecond, burst }: Allowance,
  { windowMs, overage, slack }: AllowanceTerms,
): number {
  const windowS = windowMs / 1_000;
  const excess = RATE_SHARES.overage * overage * (perSecond * windowS + burst) +
    RATE_SHARES.slack * slack;
  return perSecond + excess / windowS;
}

/** Creates the entry of an account that has had no demand for a while. */
export function createEntry(
  tier: Tier,
  allowance: Allowance,
  terms: AllowanceTerms,
  { steady }: AllowanceTime,
): Entry {
  const capacity = capacityOf(allowance, terms);
  const rate = rateOf(allowance, terms);
  let level = 0;
  for (const { share, since } of tier.parts) {
    const generatingMs = Math.max(0, steady - since);
    const generated = rate * generatingMs / 1_000;
    level += share * Math.min(capacity, generated);
  }
  return {
    parts: [...tier.parts],
    kept: [],
    level,
    refilledAt: steady,
    granted: [],
    received: [],
    waiters: [],
    demand: 0,
    demandAt: steady,
    trend: 0,
    trendAt: steady,
    asked: undefined,
    askAfter: -Infinity,
    shortUntil: -Infinity,
    statedWaitMs: 0,
    hasSpare: false,
  };
}

/** Adds the tokens generated since the last call and removes expired ones. */
export function refill(
  entry: Entry,
  allowance: Allowance,
  terms: AllowanceTerms,
  { steady, latest }: AllowanceTime,
) {
  const elapsedMs = steady - entry.refilledAt;
  entry.refilledAt = steady;
  entry.received = unexpired(entry.received, latest);
  entry.granted = unexpired(entry.granted, steady);
  const rate = rateOf(allowance, terms);
  for (const { share, since } of entry.parts) {
    const generatingMs = Math.max(0, Math.min(elapsedMs, steady - since));
    entry.level += share * rate * generatingMs / 1_000;
  }
  const capacity = sumShares(entry.parts) * capacityOf(allowance, terms) -
    sum(entry.granted);
  entry.level = Math.max(0, Math.min(entry.level, capacity));
}

/** Whole tokens that can be taken now. Call `refill` before. */
export function available(entry: Entry): number {
  return sum(entry.received) + Math.floor(entry.level);
}

/** Takes up to `count` tokens. Undefined if there is none. */
export function take(
  entry: Entry,
  count: number,
  { steady, latest }: AllowanceTime,
): Taken | undefined {
  let taken = 0;
  let until = latest + GRANT_MS;
  while (taken < count) {
    const batch = entry.received[0];
    if (batch === undefined) break;
    const part = Math.min(count - taken, batch.count);
    taken += part;
    until = Math.min(until, batch.until);
    if (part === batch.count) entry.received.shift();
    else entry.received[0] = { ...batch, count: batch.count - part };
  }
  const part = Math.min(count - taken, Math.floor(entry.level));
  if (part > 0) {
    taken += part;
    entry.level -= part;
    addBatch(entry.granted, { count: part, until: steady + GRANT_MS });
  }
  return taken > 0 ? { count: taken, until } : undefined;
}

/** Whether the bucket holds tokens beyond what is needed soon. */
export function hasSpare(
  entry: Entry,
  allowance: Allowance,
  terms: AllowanceTerms,
): boolean {
  const capacity = sumShares(entry.parts) * capacityOf(allowance, terms);
  return entry.level > SPARE_SHARE * capacity;
}

/** Time until the bucket has generated a number of tokens. */
export function tokenWaitMs(
  entry: Entry,
  opts: {
    readonly count: number;
    readonly allowance: Allowance;
    readonly terms: AllowanceTerms;
    readonly steady: MonotonicMs;
  },
): number {
  const { count, allowance, terms, steady } = opts;
  const used = sumShares(entry.parts);
  const capacity = used * capacityOf(allowance, terms) - sum(entry.granted);
  const oldest = entry.granted[0];
  const blockedMs = capacity < 1 && oldest !== undefined
    ? oldest.until - steady
    : 0;
  const startMs = Math.min(...entry.parts.map(({ since }) => since - steady));
  const rate = used * rateOf(allowance, terms) / 1_000;
  return Math.max(0, startMs, blockedMs) +
    Math.max(0, count - entry.level) / rate;
}

export function recordDemand(entry: Entry, count: number, steady: number) {
  const decay = Math.exp((entry.demandAt - steady) / DEMAND_MS);
  entry.demand = entry.demand * decay + count;
  entry.demandAt = steady;
}

/** Recently requested tokens per millisecond. */
export function demandRate(entry: Entry, steady: number): number {
  const decay = Math.exp((entry.demandAt - steady) / DEMAND_MS);
  return entry.demand * decay / DEMAND_MS;
}

function addBatch(batches: Batch[], batch: Batch) {
  const last = batches.at(-1);
  if (last === undefined || batch.until - last.until > MERGE_MS) {
    batches.push(batch);
    return;
  }
  const count = last.count + batch.count;
  batches[batches.length - 1] = { count, until: batch.until };
}

function unexpired(batches: Batch[], now: number): Batch[] {
  if (batches.length === 0 || batches.every(({ until }) => until > now)) {
    return batches;
  }
  return batches.filter(({ until }) => until > now);
}

function sum(batches: readonly Batch[]): number {
  let count = 0;
  for (const batch of batches) count += batch.count;
  return count;
}
