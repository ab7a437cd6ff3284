/**
 * The operators' two lists: which plan each customer holds, and which services
 * and routes each plan may use.
 * @module
 */

/** Names of the two lists. */
export const ListName = { Customers: "customers", Uses: "uses" } as const;
export type ListName = typeof ListName[keyof typeof ListName];

/** The plan of one customer. Keyed by `customer`. */
export interface CustomerEntry {
  readonly customer: string;
  readonly plan: string;
}

/** One route of a service that a plan may use. */
export interface RouteRule {
  readonly name: string;
  /** Path prefix within the service. `/` matches every path. */
  readonly path: string;
  readonly methods: readonly string[];
  /** True if a call may safely run more than once. */
  readonly repeatable: boolean;
  /** Time limit for a complete call, retries included, in milliseconds. */
  readonly timeoutMs: number;
}

/**
 * What to do with a version under rollout that has too few calls to analyze by
 * the time in `takeOverBy`.
 */
export const WhenUnjudged = {
  /** Finish the rollout by that time, although too few calls were analyzed. */
  Proceed: "proceed",
  /** Keep the old version, don't raise the share, report it as blocked. */
  Hold: "hold",
} as const;
export type WhenUnjudged = typeof WhenUnjudged[keyof typeof WhenUnjudged];

/** Routes of one service that one plan may use. Keyed by `plan/service`. */
export interface UseEntry {
  readonly plan: string;
  readonly service: string;
  /** Upstream version that should serve the plan. */
  readonly version: string;
  /** Time by which `version` should serve all calls, ISO 8601. */
  readonly takeOverBy?: string;
  readonly whenUnjudged: WhenUnjudged;
  readonly routes: readonly RouteRule[];
}

/** Returns the key of a use entry. */
export function keyOfUse(plan: string, service: string): string {
  return `${plan}/${service}`;
}
