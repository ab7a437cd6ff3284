/**
 * What this node sent to each service in the recent past.
 * @module
 */
import type { MonotonicMs } from "../core/types.ts";

/** Terms of the budget, the same on every node. */
export interface BudgetTerms {
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
  repeats: number;
}

export interface BudgetState {
  readonly buckets: Map<string, BudgetBucket[]>;
}

/** Options of `spendRepeat`. */
export interface SpendRepeatOptions {
  readonly terms: BudgetTerms;
  readonly service: string;
  /** Nodes that share the budget, this one included. */
  readonly nodes: number;
  /** An endpoint has begun to run the request before. */
  readonly hasRun: boolean;
  readonly now: MonotonicMs;
}

export function createBudgetState(): BudgetState {
  return { buckets: new Map() };
}
