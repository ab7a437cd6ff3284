/**
 * Order in which waiting calls start.
 * @module
 */
import type { MonotonicMs } from "../core/types.ts";
import { classOf } from "../shedding/class_of.ts";
import { delayOf } from "../shedding/delay_of.ts";
import { patienceOf } from "../shedding/late_wait_share.ts";
import { expectedRunMs, isTimelyAfter } from "./estimate.ts";
import type { QueuedCall, QueueState } from "./state.ts";

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
    const at = call.arrivedAt + delayOf(call, slackMs);
    return { group: Group.Timely, urgencyClass: 0, at };
  }
  if (!isPatient(call)) {
    return { group: Group.Late, urgencyClass: 0, at: -call.arrivedAt };
  }
  return {
    group: Group.PatientLate,
    urgencyClass: classOf(call),
    at: call.deadlineAt - runMs,
  };
}

/** Whether the caller waits long, so that a late answer keeps its worth. */
export function isPatient(call: QueuedCall): boolean {
  return patienceOf(call) > 0;
}
