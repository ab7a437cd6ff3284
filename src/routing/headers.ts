/**
 * HTTP headers between callers, nodes and upstreams.
 * @module
 */

/** Customer on whose behalf a call is made. Set by the caller. */
export const customerHeader = "lagoon-customer";

/** Milliseconds left for the whole call. */
export const deadlineHeader = "lagoon-deadline-ms";

/** Times that the receiver may pass the call on. */
export const hopsHeader = "lagoon-hops";

/** `true` on an answer that stands for a call that did not run. */
export const notRunHeader = "lagoon-not-run";

/** Stable code of a refusal. */
export const reasonHeader = "lagoon-reason";

/** Version of the upstream that answered. */
export const versionHeader = "lagoon-version";

/** Load of the home that answered, calls in flight by slots. */
export const loadHeader = "lagoon-load";

/** Key that marks resends of one non-repeatable call. */
export const idempotencyHeader = "idempotency-key";

/** Service that a passed-on call is for. */
export const serviceHeader = "lagoon-service";

/** Plan of a passed-on call's customer. */
export const planHeader = "lagoon-plan";

/** Route of a passed-on call, after `r` when it is repeatable, else `n`. */
export const routeHeader = "lagoon-route";
