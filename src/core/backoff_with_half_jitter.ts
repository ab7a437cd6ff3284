/**
 * Pauses between attempts at something that fails.
 * @module
 */

/** Bounds of a pause, in milliseconds. */
export interface BackoffBounds {
  /** Ceiling after the first failure. Doubles with each further one. */
  readonly firstMs: number;
  readonly longestMs: number;
}

/**
 * Milliseconds to wait after `failures` in a row: exponential, between half and
 * the whole of the ceiling, so that nodes that failed together part.
 */
export function backoffWithHalfJitter(
  bounds: BackoffBounds,
  failures: number,
  random: number,
): number {
  const ceiling = Math.min(bounds.longestMs, bounds.firstMs * 2 ** failures);
  return ceiling * (0.5 + random / 2);
}
