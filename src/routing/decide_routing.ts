/**
 * Keeps measured results of homes and ejects those that fail.
 * @module
 */
import { exhausted } from "../core/exhausted.ts";
import type { MonotonicMs, NodeId } from "../core/types.ts";
import type { CallEnd } from "../retry/messages.ts";
import { noteTime } from "./recent_times.ts";
import type {
  HomeStats,
  RoutingEffect,
  RoutingEvent,
  RoutingState,
} from "./state.ts";

const failingWeight = 0.25;
const ejectAbove = 0.5;
const leastLead = 0.3;
const enoughResults = 3;
const firstEjectionMs = 2_000;
const longestEjectionMs = 30_000;
const forgetAfterMs = 60_000;
const lowestServerError = 500;

/** At most this share of a service's homes is ejected at once. */
const maxEjectedShare = 0.5;

/** Takes one event of routing in turn. */
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
      return note(state, event, true);
    case "ended":
      return end(state, event);
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

function end(
  state: RoutingState,
  event: Extract<RoutingEvent, { type: "ended" }>,
): readonly RoutingEffect[] {
  const { end, now } = event;
  const stats = statsOf(state, event.key, event.home);
  stats.inFlight = Math.max(0, stats.inFlight - 1);
  if (end.type === "answered") {
    stats.load = end.load;
    stats.loadAt = now;
    noteTime(state, event.route, event.tookMs);
  }
  const isFailed = didFail(end);
  if (isFailed === undefined) return [];
  // An overdue attempt has been counted already.
  if (event.wasOverdue && isFailed) return [];
  return note(state, event, isFailed);
}

/** Undefined when the end says nothing of the home. */
function didFail(end: CallEnd): boolean | undefined {
  switch (end.type) {
    case "answered":
      return end.status >= lowestServerError;
    case "unknown":
    case "cut":
      return true;
    case "not-run":
      // A home that can't be reached fails; one that sheds load is well.
      return end.code === "LAGOON_CALL_UNREACHABLE" ? true : undefined;
    case "cancelled":
    case "given-up":
      return undefined;
    default:
      return exhausted(end);
  }
}

function note(
  state: RoutingState,
  event: { readonly key: string; readonly home: NodeId; readonly now: number },
  isFailed: boolean,
): readonly RoutingEffect[] {
  const { key, home, now } = event;
  const stats = statsOf(state, key, home);
  stats.failing += ((isFailed ? 1 : 0) - stats.failing) * failingWeight;
  stats.results = Math.min(enoughResults, stats.results + 1);
  if (!isFailed) {
    const wasProbe = stats.ejections > 0 && now >= stats.ejectedUntil;
    if (wasProbe) bringBack(stats);
    return [];
  }
  return shouldEject(state, key, stats, now) ? [eject(stats, home, now)] : [];
}

function bringBack(stats: HomeStats) {
  stats.ejections = 0;
  stats.failing = 0;
  stats.results = 0;
}

/** Ejects a home that fails more than the others, and never too many. */
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
  if (ejected + 1 > homes.length * maxEjectedShare) return false;
  if (stats.ejections > 0) return true;
  if (stats.results < enoughResults || stats.failing < ejectAbove) return false;
  const serving = others.filter((one) => one.ejections === 0);
  const usual = serving.reduce((sum, one) => sum + one.failing, 0) /
    Math.max(1, serving.length);
  return stats.failing > usual + leastLead;
}

function eject(
  stats: HomeStats,
  home: NodeId,
  now: MonotonicMs,
): RoutingEffect {
  const forMs = firstEjectionMs * 2 ** stats.ejections;
  stats.ejections++;
  stats.ejectedUntil = now + Math.min(longestEjectionMs, forMs);
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
        now - stats.usedAt > forgetAfterMs;
      if (isIdle) homes.delete(home);
      (isIdle ? idle : busy).add(home);
    }
    if (homes.size === 0) state.services.delete(key);
  }
  return [...idle].filter((home) => !busy.has(home))
    .map((home) => ({ type: "idle", home }));
}
