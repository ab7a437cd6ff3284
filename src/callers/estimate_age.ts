/**
 * Estimates how long a caller has already waited before it sent this request.
 * @module
 */

/**
 * A request counts as a first attempt if its timeout is at least this fraction
 * of the longest timeout on its route. Some callers allow a little less than
 * others.
 */
const FIRST_REQUEST_SHARE = 0.85;

/**
 * Decay factor applied to a route's longest timeout with each request, so that
 * old timeouts fade.
 */
const TIMEOUT_DECAY_PER_REQUEST = 0.999;

/** Longest recent timeout of the callers of each route, in milliseconds. */
export interface CallerTimeouts {
  readonly longestMs: Map<string, number>;
}

export function createCallerTimeouts(): CallerTimeouts {
  return { longestMs: new Map() };
}

/**
 * Returns the minimum time that the caller has already waited, in milliseconds.
 *
 * It matters for callers that retry after a refusal. Their latency objective
 * runs from their first request, but a request states only how long they still
 * wait: a request that allows much less time than others on its route is a
 * retry. Under an overload, slots given to retries as if they were first
 * requests would make the answers to both late.
 */
export function estimateAgeMs(
  timeouts: CallerTimeouts,
  route: string,
  waitMs: number,
): number {
  const decayedMs = (timeouts.longestMs.get(route) ?? 0) *
    TIMEOUT_DECAY_PER_REQUEST;
  const longestMs = Math.max(decayedMs, waitMs);
  timeouts.longestMs.set(route, longestMs);
  return Math.max(0, longestMs * FIRST_REQUEST_SHARE - waitMs);
}
