/**
 * Estimates how long a caller has waited before this request.
 * @module
 */

/**
 * Part of the longest wait on a route that a first request may announce. Some
 * callers allow a little less than others.
 */
const firstRequestShare = 0.85;

/** Decay of the longest wait with each request, so that old ones fade. */
const decay = 0.999;

/** Longest time that callers of each route allowed lately, in milliseconds. */
export interface CallerTimeouts {
  readonly longestMs: Map<string, number>;
}

export function createCallerTimeouts(): CallerTimeouts {
  return { longestMs: new Map() };
}

/**
 * Returns the time that the caller has spent at least, in milliseconds.
 *
 * Answers callers that come back after a refusal. Their latency objective runs
 * from their first request, but a request tells only how long they still wait:
 * one that allows much less time than others on its route has been here before.
 * Under an overload, slots given to such callers as if they were fresh answer
 * both them and the fresh ones late.
 */
export function estimateAgeMs(
  patience: CallerTimeouts,
  route: string,
  waitMs: number,
): number {
  const known = (patience.longestMs.get(route) ?? 0) * decay;
  const longestMs = Math.max(known, waitMs);
  patience.longestMs.set(route, longestMs);
  return Math.max(0, longestMs * firstRequestShare - waitMs);
}
