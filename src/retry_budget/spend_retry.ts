/**
 * Counts requests and decides whether the budget allows a retry.
 * @module
 */
import type { MonotonicMs } from "../core/types.ts";
import type {
  BudgetBucket,
  RetryBudgetState,
  RetryBudgetTerms,
  SpendRetryOptions,
} from "./state.ts";

/**
 * Number of buckets in which the requests and retries of a window are counted.
 */
const BUCKETS_PER_WINDOW = 10;

/**
 * Fraction of the ratio and the slack that may be spent. The rest is left for
 * nested calls that a retried run makes again, which count as retries at the
 * services that they go to.
 */
const SPENDABLE_SHARE = 0.6;

/**
 * Cost of a retry after an endpoint has begun a run. The run may have made
 * nested calls, and a second run makes them again: each counts as a retry at
 * the service that it goes to.
 */
const RETRY_COST_AFTER_RUN = 3;

/** Counts a request to a service. */
export function addRequest(
  state: RetryBudgetState,
  terms: RetryBudgetTerms,
  service: string,
  now: MonotonicMs,
) {
  bucketOf(state, terms, service, now).requests++;
}

/**
 * Spends the cost of a retry from this node's share of the budget. Returns
 * false without spending it if too little is left. Prevents retry storms:
 * retries stay limited to a fraction of the requests, however many nodes retry
 * concurrently.
 */
export function spendRetry(
  state: RetryBudgetState,
  opts: SpendRetryOptions,
): boolean {
  const { terms, service, now } = opts;
  const current = bucketOf(state, terms, service, now);
  let requests = 0;
  let retries = 0;
  for (const bucket of state.buckets.get(service) ?? []) {
    requests += bucket.requests;
    retries += bucket.retries;
  }
  const slack = Math.floor(
    terms.slack * SPENDABLE_SHARE / Math.max(1, opts.nodes),
  );
  const cost = opts.hasRun ? RETRY_COST_AFTER_RUN : 1;
  if (retries + cost > requests * terms.ratio * SPENDABLE_SHARE + slack) {
    return false;
  }
  current.retries += cost;
  return true;
}

function bucketOf(
  state: RetryBudgetState,
  terms: RetryBudgetTerms,
  service: string,
  now: MonotonicMs,
): BudgetBucket {
  const part = Math.floor(now * BUCKETS_PER_WINDOW / terms.windowMs);
  let buckets = state.buckets.get(service);
  if (buckets === undefined) {
    buckets = [];
    state.buckets.set(service, buckets);
  }
  while (
    buckets[0] !== undefined && buckets[0].part <= part - BUCKETS_PER_WINDOW
  ) {
    buckets.shift();
  }
  const last = buckets.at(-1);
  if (last?.part === part) return last;
  const fresh = { part, requests: 0, retries: 0 };
  buckets.push(fresh);
  return fresh;
}
