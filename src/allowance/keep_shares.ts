/**
 * Decides what an allocator of a failure domain keeps of its shares. Requests of
 * accounts with steady demand then need no messages between domains, and do not
 * depend on the fleet's allocator.
 * @module
 */
import { capacityOf, demandRate, rateOf } from "./bucket.ts";
import { MAX_KEPT } from "./messages.ts";
import { keptRatio } from "./settle_shares.ts";
import type { AllowanceState, AllowanceTime, Entry, Tier } from "./state.ts";

/** What is kept, as a multiple of the recent demand. */
const KEPT_PER_DEMAND = 1.2;

/** The rest is always pooled, for domains whose demand is above their share. */
const MAX_RATIO = 0.8;

/**
 * Demand, as a fraction of the domain's share, above which nothing is kept: the
 * domain needs tokens from the fleet's allocator in any case.
 */
const MAX_DEMAND = 0.8;

/** Time constant of the demand that decides what is kept. */
const TREND_MS = 3_000;

/**
 * Increase of the kept fraction in one step. Until the leases before a step have
 * expired, nobody uses what it adds.
 */
const STEP = 0.1;

/** Shares whose bucket holds fewer tokens serve better if they are pooled. */
const MIN_TOKENS = 8;

/**
 * Records for each account what the lease that is sent now keeps, and returns
 * what is not zero.
 */
export function keepShares(
  state: AllowanceState,
  tier: Tier,
  until: number,
  time: AllowanceTime,
): readonly (readonly [string, number])[] {
  const list: (readonly [string, number])[] = [];
  for (const [account, entry] of tier.entries) {
    const wanted = list.length < MAX_KEPT
      ? wantedRatio(state, tier, account, entry, time)
      : 0;
    const ratio = nextRatio(tier, entry, wanted, time);
    record(entry, ratio, until);
    if (ratio > 0) list.push([account, ratio]);
  }
  return list;
}

function wantedRatio(
  state: AllowanceState,
  tier: Tier,
  account: string,
  entry: Entry,
  { steady }: AllowanceTime,
): number {
  const allowance = state.accounts.get(account)?.allowance;
  if (allowance === undefined) return 0;
  const tokens = tier.held * capacityOf(allowance, state.terms);
  if (tokens < MIN_TOKENS) return 0;
  const perMs = tier.held * rateOf(allowance, state.terms) / 1_000;
  const demand = demandRate(entry, steady) / perMs;
  const elapsed = Math.min(1, (steady - entry.trendAt) / TREND_MS);
  entry.trend += elapsed * (demand - entry.trend);
  entry.trendAt = steady;
  if (entry.trend > MAX_DEMAND) return 0;
  // Demand that has ended releases its share before the trend shows it.
  const steadyDemand = Math.min(entry.trend, 2 * demand);
  return Math.min(MAX_RATIO, KEPT_PER_DEMAND * steadyDemand);
}

/** Steps up once the last step is in effect, and down when it is well below. */
function nextRatio(
  tier: Tier,
  entry: Entry,
  wanted: number,
  time: AllowanceTime,
): number {
  const last = entry.kept.at(-1)?.ratio ?? 0;
  if (wanted >= last + STEP) {
    return keptRatio(tier, entry, time) < last ? last : last + STEP;
  }
  if (wanted < STEP) return 0;
  return wanted < last - 2 * STEP ? Math.floor(wanted / STEP) * STEP : last;
}

function record(entry: Entry, ratio: number, until: number) {
  const last = entry.kept.at(-1);
  if (last?.ratio === ratio) entry.kept.pop();
  entry.kept.push({ ratio, until });
}
