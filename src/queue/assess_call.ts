/**
 * Decides whether a call that arrives has room, and estimates how long it waits.
 * @module
 */
import { startDelayMs } from "../cold_start/start_delay.ts";
import type { MonotonicMs } from "../core/types.ts";
import { classOf } from "../shedding/class_of.ts";
import { delayOf } from "../shedding/delay_of.ts";
import { estimateWait } from "../shedding/estimate_wait.ts";
import { MIN_LATE_WAIT_SHARE } from "../shedding/late_wait_share.ts";
import { compareRanks, isPatient, rankOf } from "./compare_calls.ts";
import {
  canMeetDeadline,
  expectedRunMs,
  isColdDelayTooLong,
  keepsObjectiveMargin,
  meanRunMs,
  slowdownAt,
} from "./estimate.ts";
import { type QueuedCall, type QueueState, RefusalReason } from "./state.ts";

/**
 * Maximum number of waiting calls. Bounds memory only: deadlines keep the queue
 * far shorter.
 */
const MAX_WAITING_CALLS = 512;

/**
 * Maximum wait of a new call that puts its latency objective at risk, as a
 * fraction of a run. With more work ahead the queue is overloaded, and the call
 * is refused, since it would probably get no slot. Nested calls are exempt, and
 * calls whose callers wait long may wait longer (see `lateWaitShare`).
 */
const MAX_RISKY_WAIT_RUNS = 0.5;

/** Options of `assessCall`. */
export interface AssessCallOptions {
  readonly call: QueuedCall;
  /**
   * Whether the sender accepts an answer past the latency objective, since no
   * other home node is expected to be faster.
   */
  readonly mayBeLate: boolean;
  readonly now: MonotonicMs;
}

/** Whether a call is refused, and the time until it would start. */
export interface Assessment {
  /** Undefined to accept the call. */
  readonly reason: RefusalReason | undefined;
  readonly waitMs: number;
}

/** Decides whether a call that arrives now is refused. */
export function assessCall(
  state: QueueState,
  opts: AssessCallOptions,
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
    if (other.key === call.key) continue;
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
 * Returns the time until a call that arrives now, or that waits, is expected to
 * start, in milliseconds.
 */
export function expectedStartMs(
  state: QueueState,
  call: QueuedCall,
  now: MonotonicMs,
): number {
  return waitOf(state, call, now).waitMs;
}

/** Longest wait that may put the call's latency objective at risk. */
export function riskyWaitMs(
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

/** Returns the time by which a call stands back for more urgent ones. */
export function delayOfCall(
  state: QueueState,
  call: QueuedCall,
  runMs: number,
): number {
  const slackMs = call.objectiveAt - call.arrivedAt - runMs;
  return delayOf(state.shedding, call, slackMs);
}

/** Returns the fraction of its time that a late call may wait. */
export function lateShareOf(call: QueuedCall): number {
  return call.lateShare ?? MIN_LATE_WAIT_SHARE;
}

/** Returns the number of slots, or 0 while the endpoint accepts no calls. */
export function slotsOf({ gate }: QueueState): number {
  return gate.type === "open" ? gate.slots : 0;
}
