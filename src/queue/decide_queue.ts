/**
 * Decides which calls to one endpoint start, wait or are refused.
 * @module
 */
import { exhausted } from "../core/exhausted.ts";
import type { MonotonicMs } from "../core/types.ts";
import { compareCalls } from "./compare_calls.ts";
import {
  canMeetDeadline,
  canMeetObjective,
  coldFactorAt,
  expectedWaitMs,
  keepsObjectiveMargin,
  meanRunMs,
  recordRunTime,
} from "./estimate.ts";
import { recordPace, usualTimeAt } from "./pace.ts";
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

/**
 * Maximum number of waiting calls. Bounds memory only: deadlines keep the queue
 * far shorter.
 */
const MAX_WAITING_CALLS = 512;

/**
 * Maximum number of waiting calls, per slot, that are expected to miss their
 * latency objective. They start only while no call waits that can still meet
 * its objective, so more of them would not get a slot.
 */
const LATE_CALLS_PER_SLOT = 2;

/**
 * Maximum number of calls, per slot, ahead of a new call whose wait puts its
 * latency objective at risk. With more ahead the queue is overloaded, and the
 * call is refused, since it would probably get no slot. Nested calls are
 * exempt.
 */
const MAX_CALLS_AHEAD_PER_SLOT = 0.5;

/**
 * Fraction of the time from arrival to deadline that a call may wait when it
 * can no longer meet its latency objective. It is then refused, early enough
 * for its caller to retry. A nested call may wait until it can't meet its
 * deadline.
 */
const LATE_WAIT_SHARE = 0.25;

/** A run that takes longer than this many times its route's mean is overdue. */
const OVERDUE_FACTOR = 3;

/** Number of recorded runs of a route from which its runs can be overdue. */
const MIN_OVERDUE_SAMPLES = 10;

/** Minimum run time of an overdue run, in milliseconds. */
const MIN_OVERDUE_MS = 40;

/**
 * Applies one event to the queue and returns which calls start, are refused or
 * have become overdue.
 */
export function decideQueue(
  state: QueueState,
  event: QueueEvent,
): readonly QueueEffect[] {
  switch (event.type) {
    case "arrived":
      return handleArrived(state, event);
    case "ended":
      handleEnded(state, event);
      return startWaitingCalls(state, event.now);
    case "withdrawn":
      state.waiting.delete(event.key);
      return startWaitingCalls(state, event.now);
    case "gate-changed":
      state.gate = event.gate;
      state.coldUntil = event.coldUntil;
      return event.gate.type === "open"
        ? startWaitingCalls(state, event.now)
        : refuseAllWaiting(state, event.now);
    case "paced":
      recordPace(state.pace, event.factor, event.now);
      return [];
    case "ticked":
      return [
        ...refuseExpired(state, event.now),
        ...findOverdue(state, event.now),
      ];
    default:
      return exhausted(event);
  }
}

/**
 * Returns the report of the queue that goes to other nodes. `route` is the
 * route of the call that the report accompanies, if any.
 */
export function reportQueue(state: QueueState, route?: string): QueueReport {
  const routeMs = route === undefined
    ? undefined
    : state.timesByRoute.get(route);
  return {
    running: state.running.size,
    waiting: state.waiting.size,
    meanMs: roundToTenths(meanRunMs(state)),
    routeMs: roundToTenths(routeMs?.mean ?? 0),
  };
}

function roundToTenths(ms: number): number {
  return Math.round(ms * 10) / 10;
}

function handleArrived(
  state: QueueState,
  event: Extract<QueueEvent, { type: "arrived" }>,
): readonly QueueEffect[] {
  const { call, now } = event;
  const reason = findRefusalReason(state, event);
  if (reason !== undefined) return [refuse(state, call.key, reason, now)];
  state.waiting.set(call.key, call);
  return [...evictLateCalls(state, now), ...startWaitingCalls(state, now)];
}

/** Options of `findRefusalReason`. */
export interface FindRefusalReasonOptions {
  readonly call: QueuedCall;
  /**
   * Whether the sender accepts an answer past the latency objective, since no
   * other home node is expected to be faster.
   */
  readonly mayBeLate: boolean;
  readonly now: MonotonicMs;
}

/**
 * Returns why a call that arrives now is refused, or undefined to accept it.
 */
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
  if (!keepsObjectiveMargin(state, call, startAt - now, now)) {
    if (!mayBeLate) return RefusalReason.Late;
    if (!call.isNested && ahead > MAX_CALLS_AHEAD_PER_SLOT * gate.slots) {
      return RefusalReason.QueueFull;
    }
  }
  return state.waiting.size >= MAX_WAITING_CALLS
    ? RefusalReason.QueueFull
    : undefined;
}

/**
 * Refuses waiting calls that are expected to miss their latency objective, down
 * to `LATE_CALLS_PER_SLOT`: first those that are not nested, the oldest first,
 * then nested calls, the newest first. Nested calls are not exempt: the parent
 * holds a slot while its nested call waits, and an early refusal frees that
 * slot.
 */
function evictLateCalls(state: QueueState, now: MonotonicMs): QueueEffect[] {
  const slots = slotsOf(state);
  if (state.waiting.size <= LATE_CALLS_PER_SLOT * slots) return [];
  const late = [...state.waiting.values()]
    .filter((call) => !canMeetObjective(state, call, now))
    .toSorted((a, b) => compareCalls(state, a, b, now));
  return late.slice(LATE_CALLS_PER_SLOT * slots).map(({ key }) => {
    state.waiting.delete(key);
    return refuse(state, key, RefusalReason.QueueFull, now);
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

function handleEnded(
  state: QueueState,
  event: Extract<QueueEvent, { type: "ended" }>,
) {
  const call = state.running.get(event.key);
  if (call === undefined) return;
  state.running.delete(event.key);
  if (!event.isAnswered) return;
  // Run times are stored as those of a warm endpoint at its usual pace.
  // Estimates multiply them by the slowdown, which would otherwise count twice.
  const tookMs = usualRunMs(state, call, event.now);
  recordRunTime(state.times, tookMs);
  let times = state.timesByRoute.get(call.route);
  if (times === undefined) {
    times = { mean: 0, samples: 0 };
    state.timesByRoute.set(call.route, times);
  }
  recordRunTime(times, tookMs);
}

/**
 * Starts waiting calls while slots are free. A call that can't be answered
 * before its deadline is refused instead.
 */
function startWaitingCalls(
  state: QueueState,
  now: MonotonicMs,
): readonly QueueEffect[] {
  const { gate, running, waiting } = state;
  const effects: QueueEffect[] = [];
  while (
    gate.type === "open" && running.size < gate.slots && waiting.size > 0
  ) {
    const next = findNextCall(state, now);
    if (next === undefined) break;
    waiting.delete(next.key);
    if (!canMeetDeadline(state, next, now, now)) {
      effects.push(refuse(state, next.key, RefusalReason.NoTime, now));
      continue;
    }
    running.set(next.key, {
      ...next,
      startedAt: now,
      startedUsualMs: usualTimeAt(state.pace, now),
      isOverdue: false,
    });
    effects.push({ type: "start", key: next.key });
  }
  return effects;
}

function findNextCall(
  state: QueueState,
  now: MonotonicMs,
): QueuedCall | undefined {
  let first: QueuedCall | undefined;
  for (const call of state.waiting.values()) {
    if (first === undefined || compareCalls(state, call, first, now) < 0) {
      first = call;
    }
  }
  return first;
}

/**
 * Refuses waiting calls that can't be answered before their deadline, and those
 * that can't meet their latency objective and have waited too long.
 */
function refuseExpired(state: QueueState, now: MonotonicMs): QueueEffect[] {
  const effects: QueueEffect[] = [];
  for (const call of state.waiting.values()) {
    const reason = findExpiryReason(state, call, now);
    if (reason === undefined) continue;
    state.waiting.delete(call.key);
    effects.push(refuse(state, call.key, reason, now));
  }
  return effects;
}

function findExpiryReason(
  state: QueueState,
  call: QueuedCall,
  now: MonotonicMs,
): RefusalReason | undefined {
  if (!canMeetDeadline(state, call, now, now)) return RefusalReason.NoTime;
  if (call.isNested || canMeetObjective(state, call, now)) return undefined;
  const timeMs = call.deadlineAt - call.arrivedAt;
  return now - call.arrivedAt > timeMs * LATE_WAIT_SHARE
    ? RefusalReason.QueueFull
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
  const times = state.timesByRoute.get(call.route);
  if (call.isOverdue || times === undefined) return false;
  if (times.samples < MIN_OVERDUE_SAMPLES) return false;
  const limitMs = Math.max(
    MIN_OVERDUE_MS / coldFactorAt(state, call.startedAt),
    times.mean * OVERDUE_FACTOR,
  );
  return usualRunMs(state, call, now) > limitMs;
}

/** Time of a run until `now`, as on a warm endpoint at its usual pace. */
function usualRunMs(
  state: QueueState,
  call: RunningCall,
  now: MonotonicMs,
): number {
  return (usualTimeAt(state.pace, now) - call.startedUsualMs) /
    coldFactorAt(state, call.startedAt);
}

/** Refuses all waiting calls, when the endpoint accepts no more calls. */
function refuseAllWaiting(
  state: QueueState,
  now: MonotonicMs,
): readonly QueueEffect[] {
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
