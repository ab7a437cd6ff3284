/**
 * Decides whether a call to an endpoint may run, must wait, or is refused.
 *
 * Runs on the endpoint's home node, the node on the same VM, which is the only
 * one that connects to the endpoint.
 * @module
 */
import { exhausted } from "../core/exhausted.ts";
import type { EndpointId } from "../core/types.ts";
import type {
  AdmissionEffect,
  AdmissionEvent,
  AdmissionState,
  EndpointLoad,
} from "./state.ts";

/** Assumed mean run time before the first call has ended. */
const INITIAL_MEAN_MS = 10;

/** Weight of the newest run in the moving mean of run times. */
const NEWEST_RUN_WEIGHT = 0.1;

/**
 * Limit on the waiting calls per slot in a standing queue. A longer queue adds
 * latency and no throughput.
 */
const STANDING_CALLS_PER_SLOT = 0.25;

/** Limit on the waiting calls per slot during a burst. */
const BURST_CALLS_PER_SLOT = 4;

/**
 * A queue that has been non-empty for longer than this, in milliseconds, is a
 * standing queue. Before that it is a burst, for example after a stall of the
 * VM, and drains without calls being refused (Nichols and Jacobson,
 * "Controlling Queue Delay", 2012).
 */
const MAX_BURST_MS = 100;

/** Applies one event to the state and returns what to do. */
export function decideAdmission(
  state: AdmissionState,
  event: AdmissionEvent,
): readonly AdmissionEffect[] {
  switch (event.type) {
    case "asked":
      return [admitOrRefuse(getLoad(state, event.endpoint), event)];
    case "started":
      start(getLoad(state, event.endpoint), event);
      return [];
    case "ended":
      end(state, event.endpoint, event.tookMs);
      return [];
    case "gone":
      state.endpoints.delete(event.endpoint);
      return [];
    default:
      return exhausted(event);
  }
}

function getLoad(state: AdmissionState, endpoint: EndpointId): EndpointLoad {
  const known = state.endpoints.get(endpoint);
  if (known !== undefined) return known;
  const load: EndpointLoad = {
    running: 0,
    waiting: 0,
    waitingByPlan: new Map(),
    finishTagByPlan: new Map(),
    virtualNow: 0,
    meanMs: INITIAL_MEAN_MS,
    emptyAt: -Infinity,
  };
  state.endpoints.set(endpoint, load);
  return load;
}

function admitOrRefuse(
  load: EndpointLoad,
  event: Extract<AdmissionEvent, { type: "asked" }>,
): AdmissionEffect {
  const { plan, slots, now } = event;
  if (load.running + load.waiting <= slots) load.emptyAt = now;
  if (load.running + load.waiting >= slots) {
    const reason = findRefusalReason(load, event);
    if (reason !== undefined) return { type: "refuse", reason };
  }
  const tag = Math.max(load.virtualNow, load.finishTagByPlan.get(plan) ?? 0);
  load.finishTagByPlan.set(plan, tag + 1);
  load.waiting++;
  load.waitingByPlan.set(plan, (load.waitingByPlan.get(plan) ?? 0) + 1);
  return { type: "admit", tag };
}

function findRefusalReason(
  load: EndpointLoad,
  event: Extract<AdmissionEvent, { type: "asked" }>,
): string | undefined {
  const { plan, slots, leftMs, now } = event;
  const ownWaiting = load.waitingByPlan.get(plan) ?? 0;
  const planCount = load.waitingByPlan.size + (ownWaiting === 0 ? 1 : 0);
  const isStanding = now - load.emptyAt > MAX_BURST_MS;
  const callsPerSlot = isStanding
    ? STANDING_CALLS_PER_SLOT
    : BURST_CALLS_PER_SLOT;
  const queueLimit = Math.max(1, Math.ceil(slots * callsPerSlot));
  // A call of a plan with fewer waiting calls than the plan's part of the limit
  // is also admitted to a full queue, up to twice the limit.
  const planLimit = Math.max(1, Math.floor(queueLimit / planCount));
  // Admitted calls count as waiting until they start, even if slots are free,
  // so all slots are subtracted.
  const queued = load.running + load.waiting - slots;
  if (
    queued >= queueLimit &&
    (ownWaiting >= planLimit || queued >= 2 * queueLimit)
  ) {
    return `all ${slots} slots are taken and ${queued} calls wait`;
  }
  const ahead = Math.min(queued, ownWaiting * planCount + planCount - 1);
  const waitMs = (ahead + 1) * load.meanMs / slots;
  if (waitMs + load.meanMs <= leftMs) return undefined;
  return `the expected wait is ${Math.ceil(waitMs)} ms, past the deadline`;
}

function start(
  load: EndpointLoad,
  event: Extract<AdmissionEvent, { type: "started" }>,
) {
  const { plan, tag, isRun } = event;
  load.waiting--;
  load.virtualNow = Math.max(load.virtualNow, tag);
  const leftWaiting = (load.waitingByPlan.get(plan) ?? 1) - 1;
  if (leftWaiting > 0) load.waitingByPlan.set(plan, leftWaiting);
  else load.waitingByPlan.delete(plan);
  // When no call waits, earlier calls of a plan must not delay its next calls.
  if (load.waiting === 0) load.finishTagByPlan.clear();
  if (isRun) load.running++;
}

function end(state: AdmissionState, endpoint: EndpointId, tookMs: number) {
  const load = state.endpoints.get(endpoint);
  if (load === undefined) return;
  load.running--;
  load.meanMs += (tookMs - load.meanMs) * NEWEST_RUN_WEIGHT;
}
