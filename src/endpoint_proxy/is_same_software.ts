/**
 * Compares what a call is routed to with what an endpoint runs.
 * @module
 */

/** What an endpoint runs, and what a call is routed to. */
export interface Software {
  readonly service: string;
  readonly version: string;
}

/** Whether both are the same version of the same service. */
export function isSameSoftware(a: Software, b: Software): boolean {
  return a.service === b.service && a.version === b.version;
}
