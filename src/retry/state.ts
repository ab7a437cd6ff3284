/**
 * The retry budget of one node.
 * @module
 */
import type { CallEnd } from "./messages.ts";

/**
 * Retries added to the budget per call answered without a server error. Keeps
 * retries below a tenth of all calls, apart from the initial budget.
 */
export const RETRIES_PER_SERVED_CALL = 0.08;

/** Maximum number of retries that the budget holds, and the initial budget. */
export const MAX_RETRY_BUDGET = 10;

/** Maximum number of attempts of a call, including the first. */
export const MAX_ATTEMPTS = 3;

export interface RetryState {
  /** Retries that are available now. */
  budget: number;
}

/** Properties of a call on which the decision depends. */
export interface RetryCall {
  /** Attempts made so far. */
  readonly attempts: number;
  /** The route allows its calls to run more than once. */
  readonly isRepeatable: boolean;
  /** The body can be sent again. */
  readonly canResend: boolean;
  /** Time until the call's deadline, in milliseconds. */
  readonly leftMs: number;
}

export type RetryEvent =
  /** An attempt ended. */
  | {
    readonly type: "ended";
    readonly end: CallEnd;
    readonly call: RetryCall;
  }
  /** An attempt takes much longer than its route's recent calls. */
  | { readonly type: "overdue"; readonly call: RetryCall };

export type RetryEffect =
  | { readonly type: "retry" }
  /** No retry: the attempt continues, or its result is the call's result. */
  | { readonly type: "keep" };

export function createRetryState(): RetryState {
  return { budget: MAX_RETRY_BUDGET };
}
