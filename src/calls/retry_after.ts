/**
 * When a caller that was turned away should come back.
 * @module
 */

/** Shortest pause in milliseconds, about one run of a short call. */
const leastMs = 40;

/** Callers wait at most this part of the time that they have left. */
const mostShare = 1 / 3;

/** Options of `retryAfterMs`. */
export interface RetryAfterOptions {
  /** Time until room is expected, in milliseconds. */
  readonly waitMs: number;
  /** Time that the caller has left. */
  readonly leftMs: number;
  /** 0 to 1. */
  readonly random: number;
}

/**
 * Spreads the returns of a burst's callers over the time in which room is
 * expected, so that they do not come back as a burst.
 */
export function retryAfterMs(opts: RetryAfterOptions): number {
  const wantedMs = Math.max(leastMs, opts.waitMs) * (0.5 + opts.random);
  return Math.min(wantedMs, Math.max(0, opts.leftMs) * mostShare);
}
