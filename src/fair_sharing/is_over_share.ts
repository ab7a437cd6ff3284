/**
 * Whether an account uses more than its fair share.
 * @module
 */
import type { FairSharingState } from "./state.ts";

/**
 * Number of runs by which an account may exceed its share. Accounts of few calls
 * use their share by one or two runs, and would be over it after each one, so
 * that accounts of a single call went ahead of them.
 */
const FREE_RUNS = 2;

/** Options of `isOverShare`. */
export interface IsOverShareOptions {
  /** Key of the urgency class. */
  readonly key: number;
  readonly account: string | undefined;
  /** Expected run time of the account's call, in milliseconds. */
  readonly runMs: number;
}

/**
 * Returns whether the account recently used more than the fair level of its
 * class, while not all accounts get what they request. An account below the
 * level is treated as all others below it, so many accounts of one call each
 * have no advantage.
 */
export function isOverShare(
  state: FairSharingState,
  opts: IsOverShareOptions,
): boolean {
  if (opts.account === undefined) return false;
  const shares = state.classes.get(opts.key);
  if (shares === undefined || shares.level === Infinity) return false;
  const use = shares.accounts.get(opts.account);
  return use !== undefined && use.excessMs > FREE_RUNS * opts.runMs;
}
