/**
 * Estimates how long a call waits when more urgent calls arrive after it.
 * @module
 */
import type { MonotonicMs } from "../core/types.ts";
import { NESTED_CLASS } from "./class_of.ts";
import { useOf } from "./record_use.ts";
import type { ClassKey, SheddingState } from "./state.ts";

/**
 * Minimum fraction of the slots that is assumed to be left to a call. Less
 * urgent classes are owed about as much (see `recordStart`).
 */
const MIN_LEFT_SHARE = 0.25;

/** Steps of the iteration, which changes the wait by less than 5% after them. */
const ITERATIONS = 4;

/** Options of `estimateWait`. */
export interface EstimateWaitOptions {
  readonly key: ClassKey;
  /** Time by which the call stands back for more urgent ones. */
  readonly delayMs: number;
  /** Expected run time of the call, in milliseconds. */
  readonly runMs: number;
  /** Wait behind the calls that are ahead now, in milliseconds. */
  readonly aheadMs: number;
  readonly slots: number;
  readonly now: MonotonicMs;
}

/**
 * Returns the expected wait in milliseconds, if more urgent classes keep using
 * the slots at their recent rate. A call that arrives later goes ahead if the
 * difference of both delays exceeds the difference of their arrivals.
 *
 * The time of one run is not counted, since `aheadMs` contains a whole run for
 * the calls that have started. So delays of less than a run change nothing.
 * Nested calls are short and start at once, and are not counted either.
 */
export function estimateWait(
  state: SheddingState,
  opts: EstimateWaitOptions,
): number {
  const { key, aheadMs, slots, now } = opts;
  const backMs = opts.delayMs - opts.runMs;
  if (aheadMs <= 0 || backMs <= 0) return aheadMs;
  const longestMs = aheadMs / MIN_LEFT_SHARE;
  let waitMs = aheadMs;
  for (let n = 0; n < ITERATIONS; n++) {
    let nextMs = aheadMs;
    for (const one of state.classes.keys()) {
      if (one >= key || one === NESTED_CLASS) continue;
      const use = useOf(state, one, now);
      const overtakenMs = Math.min(waitMs, Math.max(0, backMs - use.delayMs));
      nextMs += overtakenMs * use.slots / slots;
    }
    waitMs = Math.min(longestMs, nextMs);
  }
  return waitMs;
}
