/**
 * HTTP headers between callers, nodes and upstreams.
 * @module
 */

/** Customer on whose behalf a call is made. Set by the caller. */
export const customerHeader = "lagoon-customer";

/** Milliseconds left for the whole call. */
export const deadlineHeader = "lagoon-deadline-ms";

/** Nodes that the call has passed through. */
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
