/**
 * Compares the service and version that a call is routed to with those that an
 * endpoint runs.
 * @module
 */

/** Service and version that an endpoint runs or a call is routed to. */
export interface Software {
  readonly service: string;
  readonly version: string;
}

/** Whether both are the same version of the same service. */
export function isSameSoftware(a: Software, b: Software): boolean {
  return a.service === b.service && a.version === b.version;
}
