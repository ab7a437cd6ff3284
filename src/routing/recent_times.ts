/**
 * Tracks the recent run times of routes and derives after what time a call is
 * overdue.
 * @module
 */
import type { RecentTimes, RoutingState } from "./state.ts";

/** Number of times kept per route, in a ring buffer. */
const SAMPLES_PER_ROUTE = 64;

/** The limit of a route is computed again after this many samples. */
const REFRESH_EVERY_SAMPLES = 16;

/**
 * A call is overdue after `OVERDUE_FACTOR` times this quantile of the route's
 * times, and not before `MIN_OVERDUE_MS`.
 */
const OVERDUE_QUANTILE = 0.95;
const OVERDUE_FACTOR = 3;
const MIN_OVERDUE_MS = 30;

/**
 * Maximum number of routes with recorded times. A further route clears the
 * times of all routes.
 */
const MAX_ROUTES = 4_096;

/** Adds the time of an answered call, in milliseconds. */
export function recordTime(state: RoutingState, route: string, tookMs: number) {
  let times = state.times.get(route);
  if (times === undefined) {
    if (state.times.size >= MAX_ROUTES) state.times.clear();
    times = {
      ring: new Float32Array(SAMPLES_PER_ROUTE),
      count: 0,
      overdueMs: Infinity,
    };
    state.times.set(route, times);
  }
  times.ring[times.count % SAMPLES_PER_ROUTE] = tookMs;
  times.count++;
  if (times.count % REFRESH_EVERY_SAMPLES === 0) refresh(times);
}

function refresh(times: RecentTimes) {
  const known = times.ring.slice(0, Math.min(times.count, SAMPLES_PER_ROUTE))
    .sort();
  const quantile = known[Math.floor(known.length * OVERDUE_QUANTILE)] ?? 0;
  times.overdueMs = Math.max(MIN_OVERDUE_MS, quantile * OVERDUE_FACTOR);
}

/**
 * Returns the time after which a call of the route is overdue, in milliseconds:
 * `Infinity` until enough times are recorded.
 */
export function overdueAfter(state: RoutingState, route: string): number {
  return state.times.get(route)?.overdueMs ?? Infinity;
}
