/**
 * Computes the backoff between failed attempts.
 * @module
 */

/** Bounds of a backoff, in milliseconds. */
export interface BackoffBounds {
  /** Ceiling after the first failure. Doubles with each further failure. */
  readonly firstMs: number;
  readonly longestMs: number;
}

/**
 * Returns the backoff after a failure that follows `failures` consecutive
 * earlier failures, in milliseconds. The ceiling grows exponentially, and
 * `random` (0 to 1) selects between half of the ceiling and all of it, so that
 * nodes that failed together retry at different times.
 */
export function backoffWithHalfJitter(
  bounds: BackoffBounds,
  failures: number,
  random: number,
): number {
  const ceiling = Math.min(bounds.longestMs, bounds.firstMs * 2 ** failures);
  return ceiling * (0.5 + random / 2);
}
