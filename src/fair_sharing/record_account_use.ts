/**
 * Records the slot time that accounts request and get.
 * @module
 */
import type { MonotonicMs } from "../core/types.ts";
import { findFairLevel } from "./find_fair_level.ts";
import type { AccountUse, ClassShares, FairSharingState } from "./state.ts";

/**
 * Time constant of the decaying sums, in milliseconds. An account of some calls
 * a second at one endpoint is measured over several calls, and a burst counts
 * within a second.
 */
const USE_DECAY_MS = 2_000;

/**
 * Interval after which the fair level is computed again, in milliseconds. It
 * bounds the cost of an event to that of a lookup.
 */
const LEVEL_INTERVAL_MS = 100;

/**
 * Number of accounts of a class that are kept when the level is computed. Those
 * with the least slot time go first, since they are below any level.
 */
const MAX_ACCOUNTS = 512;

/**
 * Fraction of what all accounts get of their requested slot time that each
 * account gets, however much it requests. The required quarter, with a margin.
 */
const MIN_SERVED_SHARE = 0.35;

/**
 * Slot time below which an account is forgotten, in milliseconds. An account
 * that no longer exists is forgotten 20 s after a use of 10 s of slot time.
 */
const MIN_KEPT_MS = 0.5;

/** Options of `recordAccountOffer` and `recordAccountStart`. */
export interface RecordAccountOptions {
  /** Key of the urgency class. */
  readonly key: number;
  readonly account: string;
  /** Expected run time of the call, in milliseconds. */
  readonly runMs: number;
  readonly now: MonotonicMs;
}

/** Records that a call of the account was offered. */
export function recordAccountOffer(
  state: FairSharingState,
  opts: RecordAccountOptions,
) {
  const { key, account, runMs, now } = opts;
  let shares = state.classes.get(key);
  if (shares === undefined) {
    shares = {
      accounts: new Map(),
      level: Infinity,
      servedShare: 1,
      computedAt: now,
    };
    state.classes.set(key, shares);
  }
  // Of all classes, so that accounts of a class without calls are forgotten.
  for (const one of state.classes.values()) {
    if (now - one.computedAt >= LEVEL_INTERVAL_MS) computeLevel(one, now);
  }
  let use = shares.accounts.get(account);
  if (use === undefined) {
    // Accounts are dropped when the level is computed. More than this many new
    // ones within its interval are not worth the memory.
    if (shares.accounts.size >= 2 * MAX_ACCOUNTS) return;
    use = { offered: 0, used: 0, at: now, excessMs: -Infinity };
    shares.accounts.set(account, use);
  }
  decay(use, now);
  use.offered += runMs;
  use.excessMs = excessOf(shares, use);
}

/** Records that a call of the account starts. */
export function recordAccountStart(
  state: FairSharingState,
  opts: RecordAccountOptions,
) {
  const shares = state.classes.get(opts.key);
  const use = shares?.accounts.get(opts.account);
  if (shares === undefined || use === undefined) return;
  decay(use, opts.now);
  use.used += opts.runMs;
  use.excessMs = excessOf(shares, use);
}

function excessOf(shares: ClassShares, use: AccountUse): number {
  const leastMs = MIN_SERVED_SHARE * shares.servedShare * use.offered;
  return use.used - Math.max(shares.level, leastMs);
}

function decay(use: AccountUse, now: MonotonicMs) {
  if (now <= use.at) return;
  const factor = Math.exp((use.at - now) / USE_DECAY_MS);
  use.offered *= factor;
  use.used *= factor;
  use.at = now;
}

function computeLevel(shares: ClassShares, now: MonotonicMs) {
  const { accounts } = shares;
  shares.computedAt = now;
  let leastMs = MIN_KEPT_MS;
  do {
    for (const [name, use] of accounts) {
      decay(use, now);
      if (use.offered < leastMs) accounts.delete(name);
    }
    leastMs *= 2;
  } while (accounts.size > MAX_ACCOUNTS);
  let offered = 0;
  let used = 0;
  for (const use of accounts.values()) {
    offered += use.offered;
    used += use.used;
  }
  shares.servedShare = offered === 0 ? 1 : Math.min(1, used / offered);
  const demands = [...accounts.values()].map((use) => use.offered);
  shares.level = findFairLevel(demands, used);
  for (const use of accounts.values()) use.excessMs = excessOf(shares, use);
}
