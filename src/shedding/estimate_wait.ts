/**
 * Estimates how long a call waits when more urgent calls arrive after it.
 * @module
 */
import type { MonotonicMs } from "../core/types.ts";
import { NESTED_CLASS } from "./class_of.ts";
import { useOf } from "./record_use.ts";
import type { ClassKey, SheddingState } from "./state.ts";

/** Change of the wait below which the iteration ends, in milliseconds. */
const PRECISION_MS = 2;

/** Limit of the iteration's steps. */
const MAX_ITERATIONS = 16;

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
  let waitMs = aheadMs;
  for (let n = 0; n < MAX_ITERATIONS; n++) {
    let nextMs = aheadMs;
    for (const one of state.classes.keys()) {
      if (one >= key || one === NESTED_CLASS) continue;
      const use = useOf(state, one, now);
      const overtakenMs = Math.min(waitMs, Math.max(0, backMs - use.delayMs));
      nextMs += overtakenMs * use.slots / slots;
    }
    if (nextMs - waitMs < PRECISION_MS) return nextMs;
    waitMs = nextMs;
  }
  return waitMs;
}
