/**
 * Decides which calls to one endpoint start, wait or are refused.
 * @module
 */
import { decideColdStart } from "../cold_start/decide_cold_start.ts";
import { startDelayMs } from "../cold_start/start_delay.ts";
import { exhausted } from "../core/exhausted.ts";
import type { MonotonicMs } from "../core/types.ts";
import {
  recordAccountOffer,
  recordAccountStart,
} from "../fair_sharing/record_account_use.ts";
import { classOf, NESTED_CLASS } from "../shedding/class_of.ts";
import {
  findOwedClass,
  recordOffer,
  recordStart,
} from "../shedding/record_use.ts";
import type { ClassKey } from "../shedding/state.ts";
import {
  assessCall,
  delayOfCall,
  expectedStartMs,
  lateShareOf,
  slotsOf,
} from "./assess_call.ts";
import {
  compareRanks,
  isOver,
  isPatient,
  rankOf,
  type StartRank,
} from "./compare_calls.ts";
import { displaceCalls, evictLateCalls } from "./displace_calls.ts";
import {
  canMeetDeadline,
  canMeetObjective,
  coldFactorAt,
  expectedRunMs,
  expectedWaitMs,
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
  state.at = event.now;
  switch (event.type) {
    case "arrived":
      return handleArrived(state, event);
    case "ended":
      handleEnded(state, event);
      return startWaitingCalls(state, event.now);
    case "withdrawn":
      state.waiting.delete(event.key);
      return startWaitingCalls(state, event.now);
    case "answer-limited":
      return handleAnswerLimited(state, event);
    case "gate-changed":
      state.gate = event.gate;
      state.coldUntil = event.coldUntil;
      return event.gate.type === "open"
        ? startWaitingCalls(state, event.now)
        : refuseAllWaiting(state, event.now);
    case "cold-changed":
      state.coldUntil = event.coldUntil;
      return startWaitingCalls(state, event.now);
    case "paced":
      recordPace(state.pace, event.factor, event.now);
      return [];
    case "ticked":
      return [
        ...refuseExpired(state, event.now),
        ...startDelayedCalls(state, event.now),
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
    waiting: countWaiting(state),
    meanMs: roundToTenths(meanRunMs(state)),
    routeMs: roundToTenths(routeMs?.mean ?? 0),
  };
}

function countWaiting(state: QueueState): number {
  let count = 0;
  for (const call of state.waiting.values()) {
    if (!isPatient(call) || canMeetObjective(state, call, state.at)) count++;
  }
  return count;
}

function roundToTenths(ms: number): number {
  return Math.round(ms * 10) / 10;
}

function handleArrived(
  state: QueueState,
  event: Extract<QueueEvent, { type: "arrived" }>,
): readonly QueueEffect[] {
  const { call, now } = event;
  recordOffer(state.shedding, classOf(call), now);
  const { account } = call;
  if (account !== undefined) {
    const runMs = expectedRunMs(state, call, now);
    const use = { key: classOf(call), account, runMs, now };
    recordAccountOffer(state.fairSharing, use);
  }
  const { reason, waitMs } = assessCall(state, event);
  const displaced = reason === undefined
    ? []
    : displaceCalls(state, event, reason);
  if (reason !== undefined && displaced.length === 0) {
    return [refuse(state, call, reason, waitMs, now)];
  }
  const { Displaced, QueueFull } = RefusalReason;
  const effects = displaced.map((other) => {
    const otherMs = expectedStartMs(state, other, now);
    return refuse(state, other, Displaced, otherMs, now);
  });
  state.waiting.set(call.key, call);
  for (const late of evictLateCalls(state, now)) {
    effects.push(refuse(state, late, QueueFull, 0, now));
  }
  return [
    ...effects,
    ...startWaitingCalls(state, now),
    ...findDelay(state, call.key),
  ];
}

/** Refuses a waiting call that is not expected to be answered in time. */
function handleAnswerLimited(
  state: QueueState,
  event: Extract<QueueEvent, { type: "answer-limited" }>,
): readonly QueueEffect[] {
  const { key, answerBy, now } = event;
  const waiting = state.waiting.get(key);
  if (waiting === undefined) return [];
  const call = { ...waiting, answerBy };
  state.waiting.set(key, call);
  const startMs = expectedStartMs(state, call, now);
  if (canMeetDeadline(state, call, now + startMs, now)) return [];
  state.waiting.delete(key);
  return [
    refuse(state, call, RefusalReason.NoTime, startMs, now),
    ...startWaitingCalls(state, now),
  ];
}

/** Finds out whether a call waits though a slot is free. */
function findDelay(state: QueueState, key: CallKey): readonly QueueEffect[] {
  const isDelayed = state.waiting.has(key) &&
    state.running.size < slotsOf(state);
  return isDelayed ? [{ type: "delayed", key }] : [];
}

/** Starts calls that waited for the limit on starts at a cold endpoint. */
function startDelayedCalls(
  state: QueueState,
  now: MonotonicMs,
): readonly QueueEffect[] {
  // Without a limit, calls wait for a slot only, which the end of a call frees.
  return state.coldStart.limit === 0 ? [] : startWaitingCalls(state, now);
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
    gate.type === "open" && running.size < gate.slots && waiting.size > 0 &&
    startDelayMs(state.coldStart, 0, now) <= 0
  ) {
    const classes = waitingClasses(state);
    const next = findNextCall(state, classes, now);
    if (next === undefined) break;
    waiting.delete(next.key);
    if (!canMeetDeadline(state, next, now, now)) {
      effects.push(refuse(state, next, RefusalReason.NoTime, 0, now));
      continue;
    }
    decideColdStart(state.coldStart, { type: "started", now });
    const runMs = expectedRunMs(state, next, now);
    recordStart(state.shedding, {
      key: classOf(next),
      runMs,
      delayMs: delayOfCall(state, next, runMs),
      waiting: classes,
      now,
    });
    const { account } = next;
    if (account !== undefined) {
      const use = { key: classOf(next), account, runMs, now };
      recordAccountStart(state.fairSharing, use);
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

function waitingClasses(state: QueueState): ReadonlySet<ClassKey> {
  const classes = new Set<ClassKey>();
  for (const call of state.waiting.values()) classes.add(classOf(call));
  classes.delete(NESTED_CLASS);
  return classes;
}

/** Returns the first call by order, or of the class that is owed a start. */
function findNextCall(
  state: QueueState,
  classes: ReadonlySet<ClassKey>,
  now: MonotonicMs,
): QueuedCall | undefined {
  const owed = findOwedClass(state.shedding, classes);
  let first: QueuedCall | undefined;
  let firstRank: StartRank | undefined;
  for (const call of state.waiting.values()) {
    if (owed !== undefined && classOf(call) !== owed) continue;
    const rank = rankOf(state, call, now);
    if (firstRank !== undefined && compareRanks(rank, firstRank) >= 0) continue;
    first = call;
    firstRank = rank;
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
    effects.push(refuse(state, call, reason, 0, now));
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
  return now - call.arrivedAt > timeMs * lateShareOf(call)
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
  const calls = [...state.waiting.values()];
  state.waiting.clear();
  return calls.map((call) => refuse(state, call, RefusalReason.Closed, 0, now));
}

/** `startMs` is the time until the call would start, as far as it is known. */
function refuse(
  state: QueueState,
  call: QueuedCall,
  reason: RefusalReason,
  startMs: number,
  now: MonotonicMs,
): QueueEffect {
  const drainMs = expectedWaitMs(state, state.waiting.size, now);
  const waitMs = Math.round(Math.max(drainMs, startMs));
  const isOverShare = isOver(state, call, expectedRunMs(state, call, now));
  return { type: "refuse", key: call.key, reason, waitMs, isOverShare };
}
