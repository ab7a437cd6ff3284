/**
 * Decides at a home whether a call may run, wait, or must be refused.
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

const initialMeanMs = 10;
const meanWeight = 0.1;

/** Waiting calls by slots. A longer standing queue adds latency alone. */
const queueShare = 0.25;

/** Waiting calls by slots while the queue is no standing one. */
const burstShare = 4;

/**
 * A queue that was not empty for this long is a standing one, in
 * milliseconds. A shorter one is a burst, such as follows a stall of the VM,
 * and drains by itself (Nichols and Jacobson, "Controlling Queue Delay", 2012).
 */
const burstMs = 100;

/** Takes one event of admission in turn. */
export function decideAdmission(
  state: AdmissionState,
  event: AdmissionEvent,
): readonly AdmissionEffect[] {
  switch (event.type) {
    case "asked":
      return [ask(loadOf(state, event.endpoint), event)];
    case "started":
      start(loadOf(state, event.endpoint), event);
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

function loadOf(state: AdmissionState, endpoint: EndpointId): EndpointLoad {
  const known = state.endpoints.get(endpoint);
  if (known !== undefined) return known;
  const load: EndpointLoad = {
    running: 0,
    waiting: 0,
    waitingOf: new Map(),
    finishOf: new Map(),
    virtualNow: 0,
    meanMs: initialMeanMs,
    emptyAt: -Infinity,
  };
  state.endpoints.set(endpoint, load);
  return load;
}

function ask(
  load: EndpointLoad,
  event: Extract<AdmissionEvent, { type: "asked" }>,
): AdmissionEffect {
  const { plan, slots, now } = event;
  if (load.running + load.waiting <= slots) load.emptyAt = now;
  if (load.running + load.waiting >= slots) {
    const reason = whyRefuse(load, event);
    if (reason !== undefined) return { type: "refuse", reason };
  }
  const tag = Math.max(load.virtualNow, load.finishOf.get(plan) ?? 0);
  load.finishOf.set(plan, tag + 1);
  load.waiting++;
  load.waitingOf.set(plan, (load.waitingOf.get(plan) ?? 0) + 1);
  return { type: "admit", tag };
}

function whyRefuse(
  load: EndpointLoad,
  event: Extract<AdmissionEvent, { type: "asked" }>,
): string | undefined {
  const { plan, slots, leftMs, now } = event;
  const own = load.waitingOf.get(plan) ?? 0;
  const plans = load.waitingOf.size + (own === 0 ? 1 : 0);
  const isStanding = now - load.emptyAt > burstMs;
  const share = isStanding ? queueShare : burstShare;
  const room = Math.max(1, Math.ceil(slots * share));
  // A plan with less than its share may wait beside a full queue.
  const ownRoom = Math.max(1, Math.floor(room / plans));
  // Admitted calls count as waiting until the queue starts them.
  const queued = load.running + load.waiting - slots;
  if (queued >= room && (own >= ownRoom || queued >= 2 * room)) {
    return `all ${slots} slots are taken and ${queued} calls wait`;
  }
  const ahead = Math.min(queued, own * plans + plans - 1);
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
  const left = (load.waitingOf.get(plan) ?? 1) - 1;
  if (left > 0) load.waitingOf.set(plan, left);
  else load.waitingOf.delete(plan);
  // Without waiting calls every plan starts level again.
  if (load.waiting === 0) load.finishOf.clear();
  if (isRun) load.running++;
}

function end(state: AdmissionState, endpoint: EndpointId, tookMs: number) {
  const load = state.endpoints.get(endpoint);
  if (load === undefined) return;
  load.running--;
  load.meanMs += (tookMs - load.meanMs) * meanWeight;
}
