/**
 * Estimates run and wait times at one endpoint.
 * @module
 */
import { startDelayMs } from "../cold_start/start_delay.ts";
import type { MonotonicMs } from "../core/types.ts";
import { paceAt } from "./pace.ts";
import type { QueuedCall, QueueState, RunTimes } from "./state.ts";

/**
 * Weight of the newest run in a mean. The mean follows a change of speed within
 * about 20 runs.
 */
const NEWEST_RUN_WEIGHT = 0.08;

/** Run time assumed of an endpoint before its first answer, in milliseconds. */
export const INITIAL_RUN_ESTIMATE_MS = 60;

/**
 * Run time assumed of a route before its first answer, as a fraction of the
 * latency objective. Operators set objectives to a few times the run time.
 */
const INITIAL_OBJECTIVE_SHARE = 0.3;

/** Factor by which runs take longer on an endpoint that has just started. */
export const COLD_START_FACTOR = 2;

/**
 * Time that a call needs at its start to meet its latency objective, as a
 * multiple of its mean run time. Run times vary around the mean: if a call had
 * only the mean left, about every second call would miss the objective.
 */
const TIMELY_RUN_FACTOR = 1.2;

/**
 * Maximum fraction of a call's slack (time left to its latency objective minus
 * its run time) that it may spend waiting. If a call could wait for all of it,
 * a queue at capacity would start each call at the last moment.
 */
export const MAX_WAIT_SHARE = 0.5;

/** Adds the time of one run to a moving mean. */
export function recordRunTime(times: RunTimes, tookMs: number) {
  times.samples++;
  const weight = Math.max(NEWEST_RUN_WEIGHT, 1 / times.samples);
  times.mean += (tookMs - times.mean) * weight;
}

/** Returns the factor by which a run that starts at `now` takes longer. */
export function slowdownAt(state: QueueState, now: MonotonicMs): number {
  return coldFactorAt(state, now) * paceAt(state.pace, now);
}

/** Returns the part of the slowdown that is due to a cold start. */
export function coldFactorAt(state: QueueState, now: MonotonicMs): number {
  return now < state.coldUntil ? COLD_START_FACTOR : 1;
}

/** Returns the expected run time of a call, in milliseconds. */
export function expectedRunMs(
  state: QueueState,
  call: QueuedCall,
  now: MonotonicMs,
): number {
  const initialMs = Math.max(0, call.objectiveAt - call.arrivedAt) *
    INITIAL_OBJECTIVE_SHARE;
  const meanMs = state.timesByRoute.get(call.route)?.mean ?? initialMs;
  return meanMs * slowdownAt(state, now);
}

/**
 * Returns the mean run time of all routes on a warm endpoint, in milliseconds.
 */
export function meanRunMs(state: QueueState): number {
  return state.times.samples === 0 ? INITIAL_RUN_ESTIMATE_MS : state.times.mean;
}

/** Returns the expected wait behind `ahead` calls, in milliseconds. */
export function expectedWaitMs(
  state: QueueState,
  ahead: number,
  now: MonotonicMs,
): number {
  const slots = state.gate.type === "open" ? state.gate.slots : 1;
  const free = slots - state.running.size;
  const coldMs = startDelayMs(state.coldStart, ahead, now);
  if (ahead < free) return coldMs;
  const runMs = meanRunMs(state) * slowdownAt(state, now);
  return Math.max(coldMs, (ahead - Math.max(0, free) + 1) * runMs / slots);
}

/**
 * Returns whether a call that starts at `startAt` is expected to meet its
 * latency objective.
 */
export function canMeetObjective(
  state: QueueState,
  call: QueuedCall,
  startAt: MonotonicMs,
): boolean {
  return isTimelyAfter(call, expectedRunMs(state, call, startAt), startAt);
}

/**
 * Returns whether a call that starts at `startAt` and is expected to run for
 * `runMs` meets its latency objective.
 */
export function isTimelyAfter(
  call: QueuedCall,
  runMs: number,
  startAt: MonotonicMs,
): boolean {
  return startAt + runMs * TIMELY_RUN_FACTOR <= call.objectiveAt;
}

/**
 * Returns whether a call that waits for `waitMs` uses no more than
 * `MAX_WAIT_SHARE` of the slack to its latency objective.
 */
export function keepsObjectiveMargin(
  state: QueueState,
  call: QueuedCall,
  waitMs: number,
  now: MonotonicMs,
): boolean {
  const spareMs = call.objectiveAt - now - expectedRunMs(state, call, now);
  return isWaitWithinMargin(waitMs, spareMs);
}

/**
 * Returns whether the limit on starts at a cold endpoint delays a call by more
 * than its slack.
 */
export function isColdDelayTooLong(
  state: QueueState,
  call: QueuedCall,
  ahead: number,
  now: MonotonicMs,
): boolean {
  const delayMs = startDelayMs(state.coldStart, ahead, now);
  const slackMs = call.objectiveAt - now - expectedRunMs(state, call, now);
  return delayMs > Math.max(0, slackMs);
}

/** Returns whether a wait uses no more than `MAX_WAIT_SHARE` of the slack. */
export function isWaitWithinMargin(waitMs: number, spareMs: number): boolean {
  return waitMs <= Math.max(0, spareMs) * MAX_WAIT_SHARE;
}

/**
 * Fraction of the expected run time that must be left before the deadline. Run
 * times vary, so some calls with less than the mean left are still answered in
 * time.
 */
const MIN_RUN_SHARE = 0.7;

/**
 * Run time, as a multiple of its mean, that must be left before the sender or
 * this node ends. A run that is not answered by then is lost, while a call that
 * is refused can be sent again.
 */
const LIMITED_RUN_FACTOR = 2;

/**
 * Returns whether a call that starts at `startAt` may be answered before its
 * deadline, and before its sender or this node ends.
 */
export function canMeetDeadline(
  state: QueueState,
  call: QueuedCall,
  startAt: MonotonicMs,
  now: MonotonicMs,
): boolean {
  return startAt <= latestStartAt(state, call, now);
}

/**
 * Returns the time after which a call can't be answered before its deadline, or
 * before its sender or this node ends.
 */
export function latestStartAt(
  state: QueueState,
  call: QueuedCall,
  now: MonotonicMs,
): MonotonicMs {
  const runMs = expectedRunMs(state, call, now);
  const { deadlineAt, answerBy = Infinity } = call;
  return Math.min(
    deadlineAt - runMs * MIN_RUN_SHARE,
    answerBy - runMs * LIMITED_RUN_FACTOR,
  );
}
