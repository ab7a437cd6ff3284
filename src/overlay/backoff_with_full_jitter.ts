/**
 * Delays between attempts to connect to a peer.
 * @module
 */

/** Upper bound of the delay without failures. It doubles with each failure. */
const BASE_DELAY_MS = 250;
/** Limit on the delay between two attempts. */
const MAX_DELAY_MS = 15_000;

/**
 * Returns the milliseconds to wait after `failures` consecutive failures:
 * exponential, with full jitter, so that many peers that lost their links at
 * the same time do not reconnect at the same time. `random` is from 0 to 1.
 */
export function backoffWithFullJitter(
  failures: number,
  random: number,
): number {
  const ceiling = Math.min(MAX_DELAY_MS, BASE_DELAY_MS * 2 ** failures);
  return random * ceiling;
}
