/**
 * HTTP headers between callers, nodes and upstreams.
 * @module
 */

/** Customer on whose behalf a call is made. Set by the caller. */
export const CUSTOMER_HEADER = "lagoon-customer";

/** Milliseconds left for the whole call. */
export const DEADLINE_HEADER = "lagoon-deadline-ms";

/** Times that the receiver may pass the call on. */
export const HOPS_HEADER = "lagoon-hops";

/** `true` on an answer that stands for a call that did not run. */
export const NOT_RUN_HEADER = "lagoon-not-run";

/** Stable code of a refusal. */
export const REASON_HEADER = "lagoon-reason";

/** Version of the upstream that answered. */
export const VERSION_HEADER = "lagoon-version";

/** Load of the home that answered, calls in flight by slots. */
export const LOAD_HEADER = "lagoon-load";

/** Key that marks resends of one non-repeatable call. */
export const IDEMPOTENCY_HEADER = "idempotency-key";

/** Service that a passed-on call is for. */
export const SERVICE_HEADER = "lagoon-service";

/** Plan of a passed-on call's customer. */
export const PLAN_HEADER = "lagoon-plan";

/** Route of a passed-on call, after `r` when it is repeatable, else `n`. */
export const ROUTE_HEADER = "lagoon-route";
