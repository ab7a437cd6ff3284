/**
 * Requests and retries that this node sent to each service recently.
 * @module
 */
import type { MonotonicMs } from "../core/types.ts";

/** Limits of the budget. They are equal on all nodes. */
export interface RetryBudgetTerms {
  /** Retries allowed for each request within the window. */
  readonly ratio: number;
  /**
   * Retries of all nodes allowed within the window in addition to the ratio.
   */
  readonly slack: number;
  readonly windowMs: number;
}

/** Counts of one of the equal parts of the window. */
export interface BudgetBucket {
  /** Index of the part, counted from time 0 of the clock. */
  readonly part: number;
  requests: number;
  retries: number;
}

export interface RetryBudgetState {
  /** Buckets of the current window by service, oldest first. */
  readonly buckets: Map<string, BudgetBucket[]>;
}

/** Options of `spendRetry`. */
export interface SpendRetryOptions {
  readonly terms: RetryBudgetTerms;
  readonly service: string;
  /** Nodes that share the budget, this one included. */
  readonly nodes: number;
  /** Whether an endpoint may have begun to run the request already. */
  readonly hasRun: boolean;
  readonly now: MonotonicMs;
}

export function createRetryBudgetState(): RetryBudgetState {
  return { buckets: new Map() };
}
