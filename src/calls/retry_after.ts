/**
 * Time after which a rejected caller should retry.
 * @module
 */

/** Lower limit on the expected wait: about the run time of a short call. */
const MIN_WAIT_MS = 40;

/** Maximum fraction of the caller's remaining time that the delay may take. */
const MAX_LEFT_SHARE = 1 / 3;

/** Options of `retryAfterMs`. */
export interface RetryAfterOptions {
  /** Time until a slot is expected to be free, in milliseconds. */
  readonly waitMs: number;
  /** Time left before the caller's deadline, in milliseconds. */
  readonly leftMs: number;
  /** Random number from 0 to 1. */
  readonly random: number;
}

/**
 * Returns the delay before the caller's retry, in milliseconds. The callers of
 * a burst get random delays around the time when a slot is expected to be free,
 * so that their retries do not arrive as another burst.
 */
export function retryAfterMs(opts: RetryAfterOptions): number {
  const spreadMs = Math.max(MIN_WAIT_MS, opts.waitMs) * (0.5 + opts.random);
  return Math.min(spreadMs, Math.max(0, opts.leftMs) * MAX_LEFT_SHARE);
}
