/**
 * Counts the endpoints that calls may be sent to.
 * @module
 */
import type { FleetState } from "./state.ts";

/** Returns the number of ready endpoints by service, over all versions. */
export function countReady(state: FleetState): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (const [service, versions] of state.byService) {
    let count = 0;
    for (const candidates of versions.values()) count += candidates.length;
    counts.set(service, count);
  }
  return counts;
}
