/**
 * Finds out whether a link to a home node of a service is about to open.
 * @module
 */
import { type FleetState, liveRows } from "./state.ts";

/**
 * Returns whether no endpoint of the service is linked, but one is known whose
 * home node has not failed to answer.
 */
export function isHomeExpected(state: FleetState, service: string): boolean {
  if (state.byService.has(service)) return false;
  return liveRows(state).some(({ row }) =>
    row.endpoint?.service === service && row.node !== state.self &&
    !state.failures.has(row.node) && !state.evacuated.has(row.domain)
  );
}
