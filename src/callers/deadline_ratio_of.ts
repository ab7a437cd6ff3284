/**
 * Ratio of the time that a caller waits in all to the latency objective.
 * @module
 */
import type { Route } from "../routes/state.ts";

/** Options of `deadlineRatioOf`. */
export interface DeadlineRatioOfOptions {
  /** Ratio of the parent call. Undefined if the call is not nested. */
  readonly parentRatio: number | undefined;
  /** Time that the caller states to wait, in milliseconds. */
  readonly callerWaitMs: number | undefined;
  /** Time that the caller has already waited, in milliseconds. */
  readonly ageMs: number;
  readonly route: Pick<Route, "objectiveMs" | "timeoutMs">;
}

/**
 * Returns the ratio that decides what a late answer is worth. The caller's own
 * deadline counts, not the route's timeout: after a timeout the caller may send
 * the request again. A nested call is worth what its parent call is worth.
 */
export function deadlineRatioOf(opts: DeadlineRatioOfOptions): number {
  const { route } = opts;
  const waitMs = (opts.callerWaitMs ?? route.timeoutMs) + opts.ageMs;
  return opts.parentRatio ?? waitMs / Math.max(1, route.objectiveMs);
}
