/**
 * Keeps a route's recent times and the bound beyond which a call is overdue.
 * @module
 */
import type { RecentTimes, RoutingState } from "./state.ts";

const ringSize = 64;
const refreshEvery = 16;
const overdueQuantile = 0.95;
const overdueFactor = 3;
const leastOverdueMs = 30;
const maxRoutes = 4_096;

/** Adds the time of an answered call, in milliseconds. */
export function noteTime(state: RoutingState, route: string, tookMs: number) {
  let times = state.times.get(route);
  if (times === undefined) {
    if (state.times.size >= maxRoutes) state.times.clear();
    times = {
      ring: new Float32Array(ringSize),
      count: 0,
      overdueMs: Infinity,
    };
    state.times.set(route, times);
  }
  times.ring[times.count % ringSize] = tookMs;
  times.count++;
  if (times.count % refreshEvery === 0) refresh(times);
}

function refresh(times: RecentTimes) {
  const known = times.ring.slice(0, Math.min(times.count, ringSize)).sort();
  const quantile = known[Math.floor(known.length * overdueQuantile)] ?? 0;
  times.overdueMs = Math.max(leastOverdueMs, quantile * overdueFactor);
}

/** Time after which a call of the route is overdue, in milliseconds. */
export function overdueAfter(state: RoutingState, route: string): number {
  return state.times.get(route)?.overdueMs ?? Infinity;
}
