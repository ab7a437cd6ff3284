/**
 * Decides what starts, waits and is turned away in front of one endpoint.
 * @module
 */
import { exhausted } from "../core/exhausted.ts";
import type { MonotonicMs } from "../core/types.ts";
import { compareCalls } from "./compare_calls.ts";
import {
  canMeetDeadline,
  canMeetObjective,
  expectedWaitMs,
  isWaitSafe,
  meanRunMs,
  recordRunTime,
  slowdownAt,
} from "./estimate.ts";
import {
  type CallKey,
  type QueuedCall,
  type QueueEffect,
  type QueueEvent,
  type QueueReport,
  type QueueState,
  RefusalReason,
  type RunningCall,
} from "./state.ts";

/** Bound of the queue's memory. Deadlines keep it far shorter. */
const maxWaiting = 512;

/**
 * Calls for each slot that may wait though they miss their aim. They start in
 * gaps between timely calls only; more of them would wait for nothing.
 */
const lateShare = 2;

/**
 * Calls for each slot that may be ahead of one that will miss its aim. Behind
 * more of them it would wait for a gap that an overload does not leave.
 */
const aheadShare = 0.5;

/**
 * Part of its time after which a call that misses its aim is given back, so
 * that its caller can still come again.
 */
const lateWaitShare = 0.25;

/** A run of this many times its route's mean counts as overdue. */
const overdueFactor = 3;

/** Runs of a route after which its mean is trusted to tell what is overdue. */
const overdueSamples = 10;

/** Shortest run that may count as overdue, in milliseconds. */
const minOverdueMs = 40;

/** Takes one event of the queue in turn. */
export function decideQueue(
  state: QueueState,
  event: QueueEvent,
): readonly QueueEffect[] {
  switch (event.type) {
    case "offered":
      return offer(state, event);
    case "ended":
      end(state, event);
      return pump(state, event.now);
    case "withdrawn":
      state.waiting.delete(event.key);
      return pump(state, event.now);
    case "gated":
      state.gate = event.gate;
      state.coldUntil = event.coldUntil;
      return event.gate.type === "open"
        ? pump(state, event.now)
        : flush(state, event.now);
    case "ticked":
      return [...expire(state, event.now), ...findOverdue(state, event.now)];
    default:
      return exhausted(event);
  }
}

/**
 * What other nodes are told of the queue, with the run time of a route's calls
 * where the report goes with one.
 */
export function reportQueue(state: QueueState, route?: string): QueueReport {
  const routeMs = route === undefined ? undefined : state.timesOf.get(route);
  return {
    running: state.running.size,
    waiting: state.waiting.size,
    meanMs: toTenths(meanRunMs(state)),
    routeMs: toTenths(routeMs?.mean ?? 0),
  };
}

function toTenths(ms: number): number {
  return Math.round(ms * 10) / 10;
}

function offer(
  state: QueueState,
  event: Extract<QueueEvent, { type: "offered" }>,
): readonly QueueEffect[] {
  const { call, now } = event;
  const reason = findRefusalReason(state, event);
  if (reason !== undefined) return [refuse(state, call.key, reason, now)];
  state.waiting.set(call.key, call);
  return [...crowdOut(state, now), ...pump(state, now)];
}

/** Options of `findRefusalReason`. */
export interface FindRefusalReasonOptions {
  readonly call: QueuedCall;
  /** The sender has no better home, so an answer past the aim is welcome. */
  readonly mayBeLate: boolean;
  readonly now: MonotonicMs;
}

/** Returns why a call would be turned away if it were offered now. */
export function findRefusalReason(
  state: QueueState,
  opts: FindRefusalReasonOptions,
): RefusalReason | undefined {
  const { call, mayBeLate, now } = opts;
  const { gate } = state;
  if (gate.type === "closed") return RefusalReason.Closed;
  const ahead = countAhead(state, call, now);
  const startAt = now + expectedWaitMs(state, ahead, now);
  if (!canMeetDeadline(state, call, startAt, now)) return RefusalReason.NoTime;
  if (!isWaitSafe(state, call, startAt - now, now)) {
    if (!mayBeLate) return RefusalReason.Late;
    if (!call.isNested && ahead > aheadShare * gate.slots) {
      return RefusalReason.Crowded;
    }
  }
  return state.waiting.size >= maxWaiting ? RefusalReason.Crowded : undefined;
}

/**
 * Turns the oldest late calls away when too many wait. Those of running calls
 * are no exception: while such a call waits its parent holds a slot, and an
 * early refusal frees it for another.
 */
function crowdOut(state: QueueState, now: MonotonicMs): QueueEffect[] {
  const slots = slotsOf(state);
  if (state.waiting.size <= lateShare * slots) return [];
  const late = [...state.waiting.values()]
    .filter((call) => !canMeetObjective(state, call, now))
    .toSorted((a, b) => compareCalls(state, a, b, now));
  return late.slice(lateShare * slots).map(({ key }) => {
    state.waiting.delete(key);
    return refuse(state, key, RefusalReason.Crowded, now);
  });
}

function slotsOf({ gate }: QueueState): number {
  return gate.type === "open" ? gate.slots : 0;
}

function countAhead(
  state: QueueState,
  call: QueuedCall,
  now: MonotonicMs,
): number {
  let ahead = 0;
  for (const other of state.waiting.values()) {
    if (compareCalls(state, other, call, now) <= 0) ahead++;
  }
  return ahead;
}

function end(
  state: QueueState,
  event: Extract<QueueEvent, { type: "ended" }>,
) {
  const call = state.running.get(event.key);
  if (call === undefined) return;
  state.running.delete(event.key);
  if (!event.isAnswered) return;
  // Times are learnt as those of a warm endpoint, so that the slow ones of its
  // first seconds are not counted twice.
  const tookMs = (event.now - call.startedAt) /
    slowdownAt(state, call.startedAt);
  recordRunTime(state.times, tookMs);
  let times = state.timesOf.get(call.route);
  if (times === undefined) {
    times = { mean: 0, samples: 0 };
    state.timesOf.set(call.route, times);
  }
  recordRunTime(times, tookMs);
}

/** Starts waiting calls while slots are free. */
function pump(state: QueueState, now: MonotonicMs): readonly QueueEffect[] {
  const { gate, running, waiting } = state;
  const effects: QueueEffect[] = [];
  while (
    gate.type === "open" && running.size < gate.slots && waiting.size > 0
  ) {
    const next = firstOf(state, now);
    if (next === undefined) break;
    waiting.delete(next.key);
    if (!canMeetDeadline(state, next, now, now)) {
      effects.push(refuse(state, next.key, RefusalReason.NoTime, now));
      continue;
    }
    running.set(next.key, { ...next, startedAt: now, isOverdue: false });
    effects.push({ type: "start", key: next.key });
  }
  return effects;
}

function firstOf(state: QueueState, now: MonotonicMs): QueuedCall | undefined {
  let first: QueuedCall | undefined;
  for (const call of state.waiting.values()) {
    if (first === undefined || compareCalls(state, call, first, now) < 0) {
      first = call;
    }
  }
  return first;
}

/** Turns away what has no time left, or has waited in vain for a gap. */
function expire(state: QueueState, now: MonotonicMs): QueueEffect[] {
  const effects: QueueEffect[] = [];
  for (const call of state.waiting.values()) {
    const reason = whyExpired(state, call, now);
    if (reason === undefined) continue;
    state.waiting.delete(call.key);
    effects.push(refuse(state, call.key, reason, now));
  }
  return effects;
}

function whyExpired(
  state: QueueState,
  call: QueuedCall,
  now: MonotonicMs,
): RefusalReason | undefined {
  if (!canMeetDeadline(state, call, now, now)) return RefusalReason.NoTime;
  if (call.isNested || canMeetObjective(state, call, now)) return undefined;
  const timeMs = call.deadlineAt - call.offeredAt;
  return now - call.offeredAt > timeMs * lateWaitShare
    ? RefusalReason.Crowded
    : undefined;
}

function findOverdue(state: QueueState, now: MonotonicMs): QueueEffect[] {
  const effects: QueueEffect[] = [];
  for (const call of state.running.values()) {
    if (!isOverdue(state, call, now)) continue;
    call.isOverdue = true;
    effects.push({ type: "overdue", key: call.key });
  }
  return effects;
}

function isOverdue(
  state: QueueState,
  call: RunningCall,
  now: MonotonicMs,
): boolean {
  const times = state.timesOf.get(call.route);
  if (call.isOverdue || times === undefined) return false;
  if (times.samples < overdueSamples) return false;
  const meanMs = times.mean * slowdownAt(state, call.startedAt);
  const limitMs = Math.max(minOverdueMs, meanMs * overdueFactor);
  return now - call.startedAt > limitMs;
}

/** Turns away all that wait, when the endpoint takes no more calls. */
function flush(state: QueueState, now: MonotonicMs): readonly QueueEffect[] {
  const keys = [...state.waiting.keys()];
  state.waiting.clear();
  return keys.map((key) => refuse(state, key, RefusalReason.Closed, now));
}

function refuse(
  state: QueueState,
  key: CallKey,
  reason: RefusalReason,
  now: MonotonicMs,
): QueueEffect {
  const waitMs = Math.round(expectedWaitMs(state, state.waiting.size, now));
  return { type: "refuse", key, reason, waitMs };
}
