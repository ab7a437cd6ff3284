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
 * Returns the backoff after `failures` consecutive failures, in milliseconds:
 * an exponential ceiling, of which `random` (0 to 1) selects between half and
 * all. Nodes that failed together then retry at different times.
 */
export function backoffWithHalfJitter(
  bounds: BackoffBounds,
  failures: number,
  random: number,
): number {
  const ceiling = Math.min(bounds.longestMs, bounds.firstMs * 2 ** failures);
  return ceiling * (0.5 + random / 2);
}
