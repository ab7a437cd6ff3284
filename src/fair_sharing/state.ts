/**
 * State of fair sharing at one endpoint: the slot time that accounts recently
 * requested and got.
 * @module
 */
import type { MonotonicMs } from "../core/types.ts";

/** Slot time of one account in one urgency class, in decaying milliseconds. */
export interface AccountUse {
  /** Expected run times of the calls that were offered. */
  offered: number;
  /** Expected run times of the calls that were started. */
  used: number;
  /** Time to which the decaying sums apply. */
  at: MonotonicMs;
  /**
   * `used` beyond the account's share, as of the account's newest event or of
   * the newest level.
   */
  excessMs: number;
}

/** The accounts of one urgency class. */
export interface ClassShares {
  readonly accounts: Map<string, AccountUse>;
  /**
   * Slot time that each account may use. The sum of what accounts request, up to
   * this limit each, is what the class gets. Infinite while all of them get what
   * they request.
   */
  level: number;
  /** Fraction of the requested slot time that the class gets. */
  servedShare: number;
  /** When `level` and `servedShare` were computed. */
  computedAt: MonotonicMs;
}

export interface FairSharingState {
  /** By the key of the urgency class. */
  readonly classes: Map<number, ClassShares>;
}

export function createFairSharingState(): FairSharingState {
  return { classes: new Map() };
}
