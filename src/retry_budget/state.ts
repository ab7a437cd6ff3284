/**
 * What this node sent to each service in the recent past.
 * @module
 */
import type { MonotonicMs } from "../core/types.ts";

/** Terms of the budget, the same on every node. */
export interface RetryBudgetTerms {
  /** Repeats allowed for each request, over the window. */
  readonly ratio: number;
  /** Repeats allowed besides, over the window and all nodes. */
  readonly slack: number;
  readonly windowMs: number;
}

/** Counts of one part of the window. */
export interface BudgetBucket {
  /** Number of the part since the clock began. */
  readonly part: number;
  requests: number;
  retries: number;
}

export interface RetryBudgetState {
  readonly buckets: Map<string, BudgetBucket[]>;
}

/** Options of `spendRetry`. */
export interface SpendRetryOptions {
  readonly terms: RetryBudgetTerms;
  readonly service: string;
  /** Nodes that share the budget, this one included. */
  readonly nodes: number;
  /** An endpoint has begun to run the request before. */
  readonly hasRun: boolean;
  readonly now: MonotonicMs;
}

export function createRetryBudgetState(): RetryBudgetState {
  return { buckets: new Map() };
}
