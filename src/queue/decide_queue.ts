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
import { chooseDisplaced } from "../shedding/choose_displaced.ts";
import { classOf, NESTED_CLASS } from "../shedding/class_of.ts";
import { delayOf } from "../shedding/delay_of.ts";
import { estimateWait } from "../shedding/estimate_wait.ts";
import { MIN_LATE_WAIT_SHARE } from "../shedding/late_wait_share.ts";
import {
  findOwedClass,
  recordOffer,
  recordStart,
} from "../shedding/record_use.ts";
import type { ClassKey } from "../shedding/state.ts";
import {
  compareRanks,
  isPatient,
  precedenceOf,
  rankOf,
  type StartRank,
} from "./compare_calls.ts";
import {
  canMeetDeadline,
  canMeetObjective,
  coldFactorAt,
  expectedRunMs,
  expectedWaitMs,
  isColdDelayTooLong,
  keepsObjectiveMargin,
  MAX_WAIT_SHARE,
  meanRunMs,
  recordRunTime,
  slowdownAt,
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
 * its objective, so more of them would not get a slot. Calls whose callers wait
 * long are exempt: they are admitted only if the slots can serve them before
 * their deadline.
 */
const LATE_CALLS_PER_SLOT = 2;

/**
 * Maximum wait of a new call that puts its latency objective at risk, as a
 * fraction of a run. With more work ahead the queue is overloaded, and the call
 * is refused, since it would probably get no slot. Nested calls are exempt, and
 * calls whose callers wait long may wait longer (see `lateWaitShare`).
 */
const MAX_RISKY_WAIT_RUNS = 0.5;

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
  const { reason, waitMs } = assess(state, event);
  const displaced = reason === undefined
    ? []
    : displaceLessUrgent(state, event, reason);
  if (reason !== undefined && displaced.length === 0) {
    return [refuse(state, call.key, reason, waitMs, now)];
  }
  state.waiting.set(call.key, call);
  return [
    ...displaced,
    ...evictLateCalls(state, now),
    ...startWaitingCalls(state, now),
    ...findDelay(state, call.key),
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

/**
 * Refuses waiting calls that are less urgent, if the new call is admitted in
 * their place. A call that another home node may answer in time displaces none.
 */
function displaceLessUrgent(
  state: QueueState,
  event: FindRefusalReasonOptions,
  reason: RefusalReason,
): readonly QueueEffect[] {
  const { call, now } = event;
  const isForRoom = reason === RefusalReason.QueueFull ||
    reason === RefusalReason.NoTime;
  const precedence = precedenceOf(state, call, now);
  if (!isForRoom || !hasHigherPrecedence(state, precedence, now)) return [];
  const rank = rankOf(state, call, now);
  const ahead = [...state.waiting.values()]
    .filter((other) => compareRanks(rankOf(state, other, now), rank) <= 0)
    .map((other) => ({
      call: other,
      precedence: precedenceOf(state, other, now),
      runMs: expectedRunMs(state, other, now),
      isTimely: canMeetObjective(state, other, now),
    }));
  const neededMs = missingWorkMs(state, call, now);
  const displaced = chooseDisplaced({ precedence, ahead, neededMs });
  for (const { key } of displaced) state.waiting.delete(key);
  if (assess(state, event).reason === undefined) {
    return displaced.map((other) => {
      const waitMs = expectedStartMs(state, other, now);
      return refuse(state, other.key, RefusalReason.Displaced, waitMs, now);
    });
  }
  for (const other of displaced) state.waiting.set(other.key, other);
  return [];
}

function hasHigherPrecedence(
  state: QueueState,
  precedence: number,
  now: MonotonicMs,
): boolean {
  for (const other of state.waiting.values()) {
    if (precedenceOf(state, other, now) > precedence) return true;
  }
  return false;
}

/** Slot time ahead of a call beyond what it may wait for, in milliseconds. */
function missingWorkMs(
  state: QueueState,
  call: QueuedCall,
  now: MonotonicMs,
): number {
  const { waitMs } = waitOf(state, call, now);
  const slackMs = call.objectiveAt - now - expectedRunMs(state, call, now);
  const allowedMs = Math.max(
    slackMs * MAX_WAIT_SHARE,
    riskyWaitMs(state, call, now),
  );
  return Math.max(1, (waitMs - allowedMs) * slotsOf(state));
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
  return assess(state, opts).reason;
}

/** Whether a call is refused, and the time until it would start. */
interface Assessment {
  readonly reason: RefusalReason | undefined;
  readonly waitMs: number;
}

function assess(
  state: QueueState,
  opts: FindRefusalReasonOptions,
): Assessment {
  const { call, mayBeLate, now } = opts;
  if (state.gate.type === "closed") {
    return { reason: RefusalReason.Closed, waitMs: 0 };
  }
  const { ahead, aheadMs, waitMs } = waitOf(state, call, now);
  const refused = (reason: RefusalReason) => ({ reason, waitMs });
  if (isColdDelayTooLong(state, call, ahead, now)) {
    return refused(mayBeLate ? RefusalReason.QueueFull : RefusalReason.Late);
  }
  if (!canMeetDeadline(state, call, now + waitMs, now)) {
    return refused(RefusalReason.NoTime);
  }
  if (!keepsObjectiveMargin(state, call, waitMs, now)) {
    if (!mayBeLate) return refused(RefusalReason.Late);
    if (!call.isNested && aheadMs > riskyWaitMs(state, call, now)) {
      return refused(RefusalReason.QueueFull);
    }
  }
  const isFull = state.waiting.size >= MAX_WAITING_CALLS;
  return { reason: isFull ? RefusalReason.QueueFull : undefined, waitMs };
}

/**
 * Refuses waiting calls that are expected to miss their latency objective, down
 * to `LATE_CALLS_PER_SLOT`: first the least urgent, the oldest first, and last
 * nested calls, those first whose parents have run for the shortest time.
 * Nested calls are not exempt: the parent holds a slot while its nested call
 * waits, and an early refusal frees that slot.
 */
function evictLateCalls(state: QueueState, now: MonotonicMs): QueueEffect[] {
  const limit = LATE_CALLS_PER_SLOT * slotsOf(state);
  if (state.waiting.size <= limit) return [];
  const late: QueuedCall[] = [];
  for (const call of state.waiting.values()) {
    if (!isPatient(call) && !canMeetObjective(state, call, now)) {
      late.push(call);
    }
  }
  if (late.length <= limit) return [];
  const kept = late.toSorted((a, b) => compareLoss(state, a, b, now));
  return kept.slice(limit).map((call) => {
    state.waiting.delete(call.key);
    return refuse(state, call.key, RefusalReason.QueueFull, 0, now);
  });
}

function compareLoss(
  state: QueueState,
  a: QueuedCall,
  b: QueuedCall,
  now: MonotonicMs,
): number {
  const usedMs = a.isNested && b.isNested
    ? (b.parentUsedMs ?? 0) - (a.parentUsedMs ?? 0)
    : 0;
  return usedMs || classOf(a) - classOf(b) ||
    compareRanks(rankOf(state, a, now), rankOf(state, b, now));
}

function slotsOf({ gate }: QueueState): number {
  return gate.type === "open" ? gate.slots : 0;
}

/** Expected wait of a call that arrives now. */
interface ExpectedWait {
  /** Number of calls ahead of it that wait now. */
  readonly ahead: number;
  /** Work of the calls ahead of it that wait now, per slot, in milliseconds. */
  readonly aheadMs: number;
  /** Time until it starts, with the more urgent calls that arrive later. */
  readonly waitMs: number;
}

function waitOf(
  state: QueueState,
  call: QueuedCall,
  now: MonotonicMs,
): ExpectedWait {
  const slots = Math.max(1, slotsOf(state));
  const free = slots - state.running.size;
  const meanMs = meanRunMs(state) * slowdownAt(state, now);
  const rank = rankOf(state, call, now);
  let ahead = 0;
  let workMs = 0;
  for (const other of state.waiting.values()) {
    if (compareRanks(rankOf(state, other, now), rank) > 0) continue;
    ahead++;
    workMs += state.timesByRoute.has(other.route)
      ? expectedRunMs(state, other, now)
      : meanMs;
  }
  const coldMs = startDelayMs(state.coldStart, ahead, now);
  if (ahead < free) return { ahead, aheadMs: 0, waitMs: coldMs };
  const startsMs = free > 0 ? workMs * (ahead - free) / ahead : workMs;
  const runMs = expectedRunMs(state, call, now);
  const waitMs = estimateWait(state.shedding, {
    key: classOf(call),
    delayMs: delayOfCall(state, call, runMs),
    runMs,
    aheadMs: (startsMs + meanMs) / slots,
    slots,
    now,
  });
  return { ahead, aheadMs: workMs / slots, waitMs: Math.max(coldMs, waitMs) };
}

/**
 * Returns the time until a call that arrives now is expected to start, in
 * milliseconds.
 */
export function expectedStartMs(
  state: QueueState,
  call: QueuedCall,
  now: MonotonicMs,
): number {
  return waitOf(state, call, now).waitMs;
}

function delayOfCall(
  state: QueueState,
  call: QueuedCall,
  runMs: number,
): number {
  const slackMs = call.objectiveAt - call.arrivedAt - runMs;
  return delayOf(state.shedding, call, slackMs);
}

/** Longest wait that may put the call's latency objective at risk. */
function riskyWaitMs(
  state: QueueState,
  call: QueuedCall,
  now: MonotonicMs,
): number {
  const runMs = expectedRunMs(state, call, now);
  const meanMs = meanRunMs(state) * slowdownAt(state, now);
  const shortMs = Math.max(runMs, meanMs) * MAX_RISKY_WAIT_RUNS;
  if (!isPatient(call)) return shortMs;
  const longMs = (call.deadlineAt - now - runMs) * lateShareOf(call);
  return Math.max(shortMs, longMs);
}

function lateShareOf(call: QueuedCall): number {
  return call.lateShare ?? MIN_LATE_WAIT_SHARE;
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
      effects.push(refuse(state, next.key, RefusalReason.NoTime, 0, now));
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
    effects.push(refuse(state, call.key, reason, 0, now));
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
  const keys = [...state.waiting.keys()];
  state.waiting.clear();
  return keys.map((key) => refuse(state, key, RefusalReason.Closed, 0, now));
}

/** `startMs` is the time until the call would start, as far as it is known. */
function refuse(
  state: QueueState,
  key: CallKey,
  reason: RefusalReason,
  startMs: number,
  now: MonotonicMs,
): QueueEffect {
  const drainMs = expectedWaitMs(state, state.waiting.size, now);
  const waitMs = Math.round(Math.max(drainMs, startMs));
  return { type: "refuse", key, reason, waitMs };
}
