/**
 * Tracks the results of home nodes (the node on an endpoint's VM, the only one
 * that connects to it) and ejects those that fail (outlier ejection).
 * @module
 */
import { exhausted } from "../core/exhausted.ts";
import type { MonotonicMs, NodeId } from "../core/types.ts";
import type { CallEnd } from "../retry/messages.ts";
import { recordTime } from "./recent_times.ts";
import type {
  HomeStats,
  RoutingEffect,
  RoutingEvent,
  RoutingState,
} from "./state.ts";

/** Weight of the newest result in the moving share of failures. */
const NEWEST_RESULT_WEIGHT = 0.25;

/** Share of failures from which a home node may be ejected. */
const EJECT_SHARE = 0.5;

/**
 * A home node is ejected only when its share of failures exceeds the mean of
 * the other home nodes by more than this. A fault of the service, which all
 * home nodes show, therefore does not lead to ejections.
 */
const MIN_SHARE_EXCESS = 0.3;

/** Minimum number of results before a home node may be ejected. */
const MIN_RESULTS = 3;

/**
 * Length of the first ejection. Each further ejection is twice as long, up to
 * `MAX_EJECTION_MS`.
 */
const FIRST_EJECTION_MS = 2_000;

/** Limit on the length of an ejection. */
const MAX_EJECTION_MS = 30_000;

/** Time without calls after which a home node's statistics are dropped. */
const STATS_TTL_MS = 60_000;

const LOWEST_SERVER_ERROR = 500;

/**
 * Limit on the share of a service version's home nodes that are ejected at the
 * same time.
 */
const MAX_EJECTED_SHARE = 0.5;

/** Applies one event to the state and returns what to do. */
export function decideRouting(
  state: RoutingState,
  event: RoutingEvent,
): readonly RoutingEffect[] {
  switch (event.type) {
    case "dispatched": {
      const home = statsOf(state, event.key, event.home);
      home.inFlight++;
      home.usedAt = event.now;
      return [];
    }
    case "overdue":
      return recordResult(state, event, true);
    case "ended":
      return handleEnd(state, event);
    case "swept":
      return sweep(state, event.now);
    default:
      return exhausted(event);
  }
}

function statsOf(state: RoutingState, key: string, home: NodeId): HomeStats {
  let homes = state.services.get(key);
  if (homes === undefined) {
    homes = new Map();
    state.services.set(key, homes);
  }
  let stats = homes.get(home);
  if (stats === undefined) {
    stats = {
      inFlight: 0,
      load: 0,
      loadAt: 0,
      failing: 0,
      results: 0,
      ejectedUntil: -Infinity,
      ejections: 0,
      usedAt: 0,
    };
    homes.set(home, stats);
  }
  return stats;
}

function handleEnd(
  state: RoutingState,
  event: Extract<RoutingEvent, { type: "ended" }>,
): readonly RoutingEffect[] {
  const { end, now } = event;
  const stats = statsOf(state, event.key, event.home);
  stats.inFlight = Math.max(0, stats.inFlight - 1);
  if (end.type === "answered") {
    stats.load = end.load;
    stats.loadAt = now;
    recordTime(state, event.route, event.tookMs);
  }
  const isFailed = didFail(end);
  if (isFailed === undefined) return [];
  // The failure was already counted when the attempt became overdue.
  if (event.wasOverdue && isFailed) return [];
  return recordResult(state, event, isFailed);
}

/**
 * Returns whether the attempt counts as failed, undefined when its end does not
 * show whether the home node works.
 */
function didFail(end: CallEnd): boolean | undefined {
  switch (end.type) {
    case "answered":
      return end.status >= LOWEST_SERVER_ERROR;
    case "unknown":
    case "cut":
      return true;
    case "not-run":
      // An unreachable home node counts as failed; one that sheds load is
      // healthy, so its refusal counts neither way.
      return end.code === "LAGOON_CALL_UNREACHABLE" ? true : undefined;
    case "cancelled":
    case "given-up":
      return undefined;
    default:
      return exhausted(end);
  }
}

function recordResult(
  state: RoutingState,
  event: { readonly key: string; readonly home: NodeId; readonly now: number },
  isFailed: boolean,
): readonly RoutingEffect[] {
  const { key, home, now } = event;
  const stats = statsOf(state, key, home);
  stats.failing += ((isFailed ? 1 : 0) - stats.failing) * NEWEST_RESULT_WEIGHT;
  stats.results = Math.min(MIN_RESULTS, stats.results + 1);
  if (!isFailed) {
    const wasProbe = stats.ejections > 0 && now >= stats.ejectedUntil;
    if (wasProbe) reinstate(stats);
    return [];
  }
  return shouldEject(state, key, stats, now) ? [eject(stats, home, now)] : [];
}

function reinstate(stats: HomeStats) {
  stats.ejections = 0;
  stats.failing = 0;
  stats.results = 0;
}

/**
 * Returns whether a home node that failed is ejected: it fails more than the
 * others, and few enough are ejected. After a failed probe, the home node is
 * ejected again without the comparison with the others.
 */
function shouldEject(
  state: RoutingState,
  key: string,
  stats: HomeStats,
  now: MonotonicMs,
): boolean {
  if (now < stats.ejectedUntil) return false;
  const homes = [...state.services.get(key)?.values() ?? []];
  const others = homes.filter((one) => one !== stats);
  const ejected = others.filter((one) => one.ejections > 0).length;
  if (ejected + 1 > homes.length * MAX_EJECTED_SHARE) return false;
  if (stats.ejections > 0) return true;
  if (stats.results < MIN_RESULTS || stats.failing < EJECT_SHARE) return false;
  const serving = others.filter((one) => one.ejections === 0);
  const meanFailing = serving.reduce((sum, one) => sum + one.failing, 0) /
    Math.max(1, serving.length);
  return stats.failing > meanFailing + MIN_SHARE_EXCESS;
}

function eject(
  stats: HomeStats,
  home: NodeId,
  now: MonotonicMs,
): RoutingEffect {
  const forMs = FIRST_EJECTION_MS * 2 ** stats.ejections;
  stats.ejections++;
  stats.ejectedUntil = now + Math.min(MAX_EJECTION_MS, forMs);
  return { type: "ejected", home, until: stats.ejectedUntil };
}

function sweep(
  state: RoutingState,
  now: MonotonicMs,
): readonly RoutingEffect[] {
  const idle = new Set<NodeId>();
  const busy = new Set<NodeId>();
  for (const [key, homes] of state.services) {
    for (const [home, stats] of homes) {
      const isIdle = stats.inFlight === 0 &&
        now - stats.usedAt > STATS_TTL_MS;
      if (isIdle) homes.delete(home);
      (isIdle ? idle : busy).add(home);
    }
    if (homes.size === 0) state.services.delete(key);
  }
  return [...idle].filter((home) => !busy.has(home))
    .map((home) => ({ type: "idle", home }));
}
