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
  type Track,
} from "./state.ts";

/** Calls watched for hanging at a time. */
const maxInFlight = 4_096;

/** Routes told apart in one rollout. The rest are counted together. */
const maxRoutes = 32;
const otherRoutes = "other";

/** Counts one event of a call. Calls without a rollout cost nothing. */
export function countCall(state: RolloutState, event: CallEvent) {
  switch (event.type) {
    case "begun": {
      const isFull = state.inFlight.size >= maxInFlight;
      if (isFull || sidesOf(state, event).length === 0) return;
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
  const begun = event.call === undefined
    ? undefined
    : state.inFlight.get(event.call);
  if (event.call !== undefined) state.inFlight.delete(event.call);
  const isFailed = event.outcome === CallOutcome.Failed;
  for (const { track, side } of sidesOf(state, event)) {
    const counts = countsOf(track.local, side, event.route);
    // An overdue call was counted when it passed the limit.
    if (begun?.isOverdue !== true) counts.calls++;
    if (isFailed) counts.failures++;
    const bucket = bucketOf(event.latencyMs);
    counts.buckets[bucket] = (counts.buckets[bucket] ?? 0) + 1;
  }
}

/** Rollouts that a call says something about, and on which side. */
export function sidesOf(
  state: RolloutState,
  call: { readonly service: string; readonly version: string },
): { track: Track; side: Side }[] {
  const sides: { track: Track; side: Side }[] = [];
  for (const track of state.tracks.values()) {
    const { rollout } = track;
    if (rollout.service !== call.service) continue;
    if (rollout.version === call.version) sides.push({ track, side: Side.New });
    else if (rollout.from.includes(call.version)) {
      sides.push({ track, side: Side.Old });
    }
  }
  return sides;
}

/** Counts of one side and route, created when missing. */
export function countsOf(
  evidence: Evidence,
  side: Side,
  route: string,
): Counts {
  const found = evidence.get(`${side} ${route}`);
  if (found !== undefined) return found;
  if (evidence.size >= 2 * maxRoutes && route !== otherRoutes) {
    return countsOf(evidence, side, otherRoutes);
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

/** Index of the latency bucket of an answer. */
export function bucketOf(latencyMs: number): number {
  const bucket = LATENCY_EDGES_MS.findIndex((edge) => latencyMs <= edge);
  return bucket < 0 ? LATENCY_EDGES_MS.length : bucket;
}
