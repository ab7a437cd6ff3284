/**
 * The retry budget of one node.
 * @module
 */
import type { CallEnd } from "./messages.ts";

/** Retries that one served call earns. Keeps retries under a tenth of calls. */
export const RETRIES_PER_SERVED_CALL = 0.08;

/** Largest budget, in retries. */
export const MAX_RETRY_BUDGET = 10;

/** Attempts of one call, the first included. */
export const MAX_ATTEMPTS = 3;

export interface RetryState {
  /** Retries that may be made now. */
  budget: number;
}

/** What the decision knows of the call. */
export interface RetryCall {
  /** Attempts made so far. */
  readonly attempts: number;
  /** The route allows a call to run more than once. */
  readonly isRepeatable: boolean;
  /** The body can be sent again. */
  readonly canResend: boolean;
  /** Time left for the call, in milliseconds. */
  readonly leftMs: number;
}

export type RetryEvent =
  | {
    readonly type: "ended";
    readonly end: CallEnd;
    readonly call: RetryCall;
  }
  /** An attempt hangs longer than its route's recent calls. */
  | { readonly type: "overdue"; readonly call: RetryCall };

export type RetryEffect =
  | { readonly type: "retry" }
  /** The attempt goes on, or its end is the call's end. */
  | { readonly type: "keep" };

export function createRetryState(): RetryState {
  return { budget: MAX_RETRY_BUDGET };
}
