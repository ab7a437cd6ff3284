/**
 * The operators' two lists: which plan each customer holds, and what each
 * plan may use.
 * @module
 */

/** Names of the two lists. */
export const ListName = { Customers: "customers", Uses: "uses" } as const;
export type ListName = typeof ListName[keyof typeof ListName];

/** One customer's plan. Keyed by `customer`. */
export interface CustomerEntry {
  readonly customer: string;
  readonly plan: string;
}

/** One route of a service that a plan may use. */
export interface RouteRule {
  readonly name: string;
  /** Path prefix below the service, `/` at least. */
  readonly path: string;
  readonly methods: readonly string[];
  /** True when a call may safely run more than once. */
  readonly repeatable: boolean;
  /** Longest time for a whole call, in milliseconds. */
  readonly timeoutMs: number;
}

/** What to do with a version that has too little traffic to judge in time. */
export const WhenUnjudged = {
  /** Take over at the time asked all the same. */
  Proceed: "proceed",
  /** Keep the old version and report the rollout as blocked. */
  Hold: "hold",
} as const;
export type WhenUnjudged = typeof WhenUnjudged[keyof typeof WhenUnjudged];

/** What one plan may use of one service. Keyed by `plan/service`. */
export interface UseEntry {
  readonly plan: string;
  readonly service: string;
  /** Upstream version that the plan should be served by. */
  readonly version: string;
  /** ISO 8601 time by which `version` has taken over, if asked. */
  readonly takeOverBy?: string;
  readonly whenUnjudged: WhenUnjudged;
  readonly routes: readonly RouteRule[];
}

/** Key of a use entry. */
export function keyOfUse(plan: string, service: string): string {
  return `${plan}/${service}`;
}
