/**
 * Expected run and wait times at one endpoint.
 * @module
 */
import type { MonotonicMs } from "../core/types.ts";
import type { QueuedCall, QueueState, RunTimes } from "./state.ts";

/** Weight of the newest run. Follows a change of speed within some 20 runs. */
const newestWeight = 0.08;

/** Run time that is assumed before the first answer, in milliseconds. */
export const INITIAL_RUN_ESTIMATE_MS = 60;

/**
 * Run time that is assumed of a route before its first answer, as a part of the
 * aim. Operators set aims to a few times what a call takes.
 */
const guessedAimShare = 0.3;

/** Endpoints that have just started take about twice as long. */
export const COLD_START_FACTOR = 2;

/**
 * Expected runs that must fit before the end of the aim when a call starts.
 * Runs spread around their mean, so a call with just the mean left is late every
 * second time.
 */
const timelyRuns = 1.2;

/**
 * Part of a call's spare time, the aim less its run, that it may wait. A queue
 * that is allowed all of it starts each call at the last moment for as long as
 * the load is at the capacity.
 */
const waitShare = 0.5;

/** Adds one run to the recent times. */
export function recordRunTime(times: RunTimes, tookMs: number) {
  times.samples++;
  const weight = Math.max(newestWeight, 1 / times.samples);
  times.mean += (tookMs - times.mean) * weight;
}

/** How many times longer than usual a run takes that starts now. */
export function slowdownAt(state: QueueState, now: MonotonicMs): number {
  return now < state.coldUntil ? COLD_START_FACTOR : 1;
}

/** Expected time of a run of the call, in milliseconds. */
export function expectedRunMs(
  state: QueueState,
  call: QueuedCall,
  now: MonotonicMs,
): number {
  const guessMs = Math.max(0, call.objectiveAt - call.offeredAt) *
    guessedAimShare;
  const ownMs = state.timesOf.get(call.route)?.mean ?? guessMs;
  return ownMs * slowdownAt(state, now);
}

/**
 * Mean time of all recent runs, in milliseconds, for an endpoint that is warm.
 */
export function meanRunMs(state: QueueState): number {
  return state.times.samples === 0 ? INITIAL_RUN_ESTIMATE_MS : state.times.mean;
}

/** Expected wait with `ahead` calls before, in milliseconds. */
export function expectedWaitMs(
  state: QueueState,
  ahead: number,
  now: MonotonicMs,
): number {
  const slots = state.gate.type === "open" ? state.gate.slots : 1;
  const free = slots - state.running.size;
  if (ahead < free) return 0;
  const runMs = meanRunMs(state) * slowdownAt(state, now);
  return (ahead - Math.max(0, free) + 1) * runMs / slots;
}

/** Whether a call that starts at `startAt` is expected to meet its aim. */
export function canMeetObjective(
  state: QueueState,
  call: QueuedCall,
  startAt: MonotonicMs,
): boolean {
  const runMs = expectedRunMs(state, call, startAt);
  return startAt + runMs * timelyRuns <= call.objectiveAt;
}

/** Whether a call that has to wait so long keeps a margin to its aim. */
export function isWaitSafe(
  state: QueueState,
  call: QueuedCall,
  waitMs: number,
  now: MonotonicMs,
): boolean {
  const spareMs = call.objectiveAt - now - expectedRunMs(state, call, now);
  return isWaitWithinMargin(waitMs, spareMs);
}

/** Whether a wait leaves a margin of the spare time, both in milliseconds. */
export function isWaitWithinMargin(waitMs: number, spareMs: number): boolean {
  return waitMs <= Math.max(0, spareMs) * waitShare;
}

/**
 * Part of the expected run that must be left before the deadline. Runs differ,
 * so some calls with less than the mean left are still answered in time.
 */
const leastRunShare = 0.7;

/** Whether a call that starts at `startAt` may be answered in time at all. */
export function canMeetDeadline(
  state: QueueState,
  call: QueuedCall,
  startAt: MonotonicMs,
  now: MonotonicMs,
): boolean {
  const runMs = expectedRunMs(state, call, now);
  return startAt + runMs * leastRunShare <= call.deadlineAt;
}
