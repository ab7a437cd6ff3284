/**
 * Order in which waiting calls start.
 * @module
 */
import type { MonotonicMs } from "../core/types.ts";
import { isOverShare } from "../fair_sharing/is_over_share.ts";
import { classOf } from "../shedding/class_of.ts";
import { delayOf } from "../shedding/delay_of.ts";
import { patienceOf } from "../shedding/late_wait_share.ts";
import { expectedRunMs, isTimelyAfter } from "./estimate.ts";
import type { QueuedCall, QueueState } from "./state.ts";

/**
 * Fraction of its slack (its latency objective less its run time) by which a
 * call is ordered as if it had arrived later while its account uses more than
 * its fair share. Calls wait for half of their slack at most, so those of other
 * accounts of the same urgency go ahead.
 */
const OVER_SHARE_DELAY = 0.6;

/** Groups of waiting calls, in the order in which they start. */
const Group = { Nested: 0, Timely: 1, PatientLate: 2, Late: 3 } as const;

/** Position of a waiting call in the order of starts. */
export interface StartRank {
  readonly group: number;
  /** Compared within a group; 0 where only `at` counts. */
  readonly urgencyClass: number;
  readonly at: MonotonicMs;
}

/**
 * Returns a negative number when `a` starts before `b`.
 *
 * 1. Nested calls, oldest first. The parent of a nested call holds a slot,
 *    possibly of the same service, until the nested call is answered.
 * 2. Calls that can still meet their latency objective, by arrival and urgency,
 *    so that a burst delays the least urgent calls first. The time of the
 *    objective is not compared: during an overload, calls with a short
 *    objective would always start before those with a long one.
 * 3. Calls that are expected to miss their objective and whose callers wait
 *    long: the more urgent first, then the one that has to start first.
 * 4. Other calls that are expected to miss their objective, the newest first.
 *    Started earlier, they would make the calls behind them miss theirs. If runs
 *    take longer than the objective, all calls are in this group, and with the
 *    oldest first each would wait until shortly before its deadline.
 */
export function compareRanks(a: StartRank, b: StartRank): number {
  return a.group - b.group || a.urgencyClass - b.urgencyClass || a.at - b.at;
}

/** Returns the rank of a call that would start at `now`. */
export function rankOf(
  state: QueueState,
  call: QueuedCall,
  now: MonotonicMs,
): StartRank {
  if (call.isNested) {
    return { group: Group.Nested, urgencyClass: 0, at: call.arrivedAt };
  }
  const runMs = expectedRunMs(state, call, now);
  if (isTimelyAfter(call, runMs, now)) {
    const slackMs = call.objectiveAt - call.arrivedAt - runMs;
    const overMs = isOver(state, call, runMs)
      ? Math.max(0, slackMs) * OVER_SHARE_DELAY
      : 0;
    const at = call.arrivedAt + delayOf(state.shedding, call, slackMs) + overMs;
    return { group: Group.Timely, urgencyClass: 0, at };
  }
  if (!isPatient(call)) {
    const urgencyClass = isOver(state, call, runMs) ? 1 : 0;
    return { group: Group.Late, urgencyClass, at: -call.arrivedAt };
  }
  return {
    group: Group.PatientLate,
    urgencyClass: 2 * classOf(call) + (isOver(state, call, runMs) ? 1 : 0),
    at: call.deadlineAt - runMs,
  };
}

/**
 * Returns the order in which calls displace others: by class, and within one
 * those of accounts that use more than their fair share last.
 */
export function precedenceOf(
  state: QueueState,
  call: QueuedCall,
  now: MonotonicMs,
): number {
  const runMs = expectedRunMs(state, call, now);
  return 2 * classOf(call) + (isOver(state, call, runMs) ? 1 : 0);
}

/** Whether the call's account uses more than its fair share. */
export function isOver(
  state: QueueState,
  call: QueuedCall,
  runMs: number,
): boolean {
  const { account } = call;
  if (account === undefined || call.isNested) return false;
  const key = classOf(call);
  return isOverShare(state.fairSharing, { key, account, runMs });
}

/** Whether the caller waits long, so that a late answer keeps its worth. */
export function isPatient(call: QueuedCall): boolean {
  return patienceOf(call) > 0;
}
