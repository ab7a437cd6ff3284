/**
 * Chooses waiting calls that are refused so that others get their room.
 * @module
 */
import type { MonotonicMs } from "../core/types.ts";
import { chooseDisplaced } from "../shedding/choose_displaced.ts";
import { classOf } from "../shedding/class_of.ts";
import {
  assessCall,
  type AssessCallOptions,
  expectedStartMs,
  riskyWaitMs,
  slotsOf,
} from "./assess_call.ts";
import {
  compareRanks,
  isPatient,
  precedenceOf,
  rankOf,
} from "./compare_calls.ts";
import { canMeetObjective, expectedRunMs, MAX_WAIT_SHARE } from "./estimate.ts";
import { type QueuedCall, type QueueState, RefusalReason } from "./state.ts";

/**
 * Maximum number of waiting calls, per slot, that are expected to miss their
 * latency objective. They start only while no call waits that can still meet
 * its objective, so more of them would not get a slot. Calls whose callers wait
 * long are exempt: they are admitted only if the slots can serve them before
 * their deadline.
 */
const LATE_CALLS_PER_SLOT = 2;

/**
 * Removes waiting calls that give way to a call that is refused for `reason`, if
 * it is admitted in their place. A call that another home node may answer in
 * time displaces none.
 */
export function displaceCalls(
  state: QueueState,
  opts: AssessCallOptions,
  reason: RefusalReason,
): readonly QueuedCall[] {
  const { call, now } = opts;
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
  if (assessCall(state, opts).reason === undefined) return displaced;
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
  const waitMs = expectedStartMs(state, call, now);
  const slackMs = call.objectiveAt - now - expectedRunMs(state, call, now);
  const allowedMs = Math.max(
    slackMs * MAX_WAIT_SHARE,
    riskyWaitMs(state, call, now),
  );
  return Math.max(1, (waitMs - allowedMs) * slotsOf(state));
}

/**
 * Removes waiting calls that are expected to miss their latency objective, down
 * to `LATE_CALLS_PER_SLOT`: first the least urgent, the oldest first, and last
 * nested calls, those first whose parents have run for the shortest time.
 * Nested calls are not exempt: the parent holds a slot while its nested call
 * waits, and an early refusal frees that slot.
 */
export function evictLateCalls(
  state: QueueState,
  now: MonotonicMs,
): readonly QueuedCall[] {
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
  const evicted = kept.slice(limit);
  for (const { key } of evicted) state.waiting.delete(key);
  return evicted;
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
