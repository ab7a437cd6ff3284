/**
 * Counts requests and decides whether one may be sent to a second endpoint.
 * @module
 */
import type { MonotonicMs } from "../core/types.ts";
import type {
  BudgetBucket,
  RetryBudgetState,
  RetryBudgetTerms,
  SpendRetryOptions,
} from "./state.ts";

/** Parts that a window is counted in. */
const partsOfWindow = 10;

/**
 * Part of the ratio that is spent. The rest is left for calls that repeated
 * runs make again, which count as repeats at the services they go to.
 */
const spentShare = 0.6;

/**
 * Cost of a repeat after a run. The run may have made calls, and a second run
 * makes them again: each counts as a repeat at the service that it goes to.
 */
const costOfRun = 3;

/** Counts a caller's request for a service. */
export function addRequest(
  state: RetryBudgetState,
  terms: RetryBudgetTerms,
  service: string,
  now: MonotonicMs,
) {
  bucketOf(state, terms, service, now).requests++;
}

/**
 * Takes one repeat out of this node's share of the budget, if there is one.
 * Answers a storm of failures: repeats stay a bounded part of the requests,
 * however many nodes repeat at once.
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
  const slack = Math.floor(terms.slack * spentShare / Math.max(1, opts.nodes));
  const cost = opts.hasRun ? costOfRun : 1;
  if (retries + cost > requests * terms.ratio * spentShare + slack) {
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
  const part = Math.floor(now * partsOfWindow / terms.windowMs);
  let buckets = state.buckets.get(service);
  if (buckets === undefined) {
    buckets = [];
    state.buckets.set(service, buckets);
  }
  while (buckets[0] !== undefined && buckets[0].part <= part - partsOfWindow) {
    buckets.shift();
  }
  const last = buckets.at(-1);
  if (last?.part === part) return last;
  const fresh = { part, requests: 0, retries: 0 };
  buckets.push(fresh);
  return fresh;
}
