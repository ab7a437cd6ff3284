/**
 * Counts calls as evidence for or against the versions of live rollouts.
 * @module
 */
import { exhausted } from "../core/exhausted.ts";
import { LATENCY_EDGES_MS, Side } from "./messages.ts";
import {
  type CallEvent,
  CallOutcome,
  type Counts,
  type Evidence,
  type RolloutState,
  type TrackedRollout,
} from "./state.ts";

/** Limit on the calls in flight that are checked for being overdue. */
const MAX_IN_FLIGHT_CALLS = 4_096;

/**
 * Limit on the routes counted separately in one rollout. Calls on further
 * routes are counted as one route.
 */
const MAX_ROUTES = 32;
const OTHER_ROUTES = "other";

/** Counts one event of a call. Ignores services without a live rollout. */
export function countCall(state: RolloutState, event: CallEvent) {
  switch (event.type) {
    case "begun": {
      const isFull = state.inFlight.size >= MAX_IN_FLIGHT_CALLS;
      if (isFull || findSides(state, event).length === 0) return;
      const { service, version, route, now } = event;
      const call = { service, version, route, at: now, isOverdue: false };
      state.inFlight.set(event.call, call);
      return;
    }
    case "answered":
      countAnswer(state, event);
      return;
    case "abandoned":
      state.inFlight.delete(event.call);
      return;
    default:
      exhausted(event);
  }
}

function countAnswer(
  state: RolloutState,
  event: Extract<CallEvent, { type: "answered" }>,
) {
  const inFlight = event.call === undefined
    ? undefined
    : state.inFlight.get(event.call);
  if (event.call !== undefined) state.inFlight.delete(event.call);
  const isFailed = event.outcome === CallOutcome.Failed;
  for (const { tracked, side } of findSides(state, event)) {
    const counts = countsOf(tracked.local, side, event.route);
    // An overdue call was counted when it passed the limit.
    if (inFlight?.isOverdue !== true) counts.calls++;
    if (isFailed) counts.failures++;
    const bucket = bucketOf(event.latencyMs);
    counts.buckets[bucket] = (counts.buckets[bucket] ?? 0) + 1;
  }
}

/** Finds the rollouts that a call is evidence for, with its side in each. */
export function findSides(
  state: RolloutState,
  call: { readonly service: string; readonly version: string },
): { tracked: TrackedRollout; side: Side }[] {
  const all: { tracked: TrackedRollout; side: Side }[] = [];
  for (const tracked of state.tracks.values()) {
    const { rollout } = tracked;
    if (rollout.service !== call.service) continue;
    if (rollout.version === call.version) all.push({ tracked, side: Side.New });
    else if (rollout.from.includes(call.version)) {
      all.push({ tracked, side: Side.Old });
    }
  }
  return all;
}

/** Returns the counts of one side and route, and creates them if missing. */
export function countsOf(
  evidence: Evidence,
  side: Side,
  route: string,
): Counts {
  const found = evidence.get(`${side} ${route}`);
  if (found !== undefined) return found;
  if (evidence.size >= 2 * MAX_ROUTES && route !== OTHER_ROUTES) {
    return countsOf(evidence, side, OTHER_ROUTES);
  }
  const counts: Counts = {
    side,
    route,
    calls: 0,
    failures: 0,
    overdue: 0,
    buckets: new Array(LATENCY_EDGES_MS.length + 1).fill(0),
  };
  evidence.set(`${side} ${route}`, counts);
  return counts;
}

/** Returns the index of the latency bucket of an answer. */
export function bucketOf(latencyMs: number): number {
  const bucket = LATENCY_EDGES_MS.findIndex((edge) => latencyMs <= edge);
  return bucket < 0 ? LATENCY_EDGES_MS.length : bucket;
}
