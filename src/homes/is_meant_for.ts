/**
 * Tells whether a call may run at an endpoint.
 * @module
 */
import type { OfferedCall } from "../calls/state.ts";
import type { Instance } from "../instance/state.ts";

/** Whether the call was routed to the endpoint's service and version. */
export function isMeantFor(
  call: Pick<OfferedCall, "service" | "version">,
  instance: Pick<Instance, "service" | "version">,
): boolean {
  return call.service === instance.service &&
    call.version === instance.version;
}
