/**
 * Pauses between attempts to reach a peer.
 * @module
 */

const firstPauseMs = 250;
const longestPauseMs = 15_000;

/**
 * Milliseconds to wait after `failures` in a row: exponential, with full
 * jitter, so that the survivors of a herd do not come back together.
 */
export function backoffWithFullJitter(
  failures: number,
  random: number,
): number {
  const ceiling = Math.min(longestPauseMs, firstPauseMs * 2 ** failures);
  return random * ceiling;
}
