/**
 * HTTP headers between callers, nodes and upstreams.
 * @module
 */

/** Customer for whom a call is made. Set by the caller. */
export const CUSTOMER_HEADER = "lagoon-customer";

/** Milliseconds until the deadline of the call. */
export const DEADLINE_HEADER = "lagoon-deadline-ms";

/** How many more times the call may be forwarded. */
export const HOPS_HEADER = "lagoon-hops";

/** `true` on the answer to a call that did not run. */
export const NOT_RUN_HEADER = "lagoon-not-run";

/** Error code of a refusal. Codes do not change between releases. */
export const REASON_HEADER = "lagoon-reason";

/** Version of the upstream that answered. */
export const VERSION_HEADER = "lagoon-version";

/** Load of the home node that answered, in calls in flight per slot. */
export const LOAD_HEADER = "lagoon-load";

/** Key that identifies a non-repeatable call when the caller resends it. */
export const IDEMPOTENCY_HEADER = "idempotency-key";

/** Service of a forwarded call. */
export const SERVICE_HEADER = "lagoon-service";

/** Plan of a forwarded call's customer. */
export const PLAN_HEADER = "lagoon-plan";

/**
 * Route of a forwarded call, prefixed with `r` when it is repeatable and `n`
 * when it is not.
 */
export const ROUTE_HEADER = "lagoon-route";
