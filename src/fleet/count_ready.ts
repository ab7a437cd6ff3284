/**
 * Counts the endpoints that accept calls.
 * @module
 */
import { type FleetState, liveRows } from "./state.ts";

/**
 * Returns the number of ready endpoints by service, over all versions and all
 * failure domains that are not evacuated.
 */
export function countReady(state: FleetState): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (const { row } of liveRows(state)) {
    if (row.endpoint === undefined || state.evacuated.has(row.domain)) continue;
    const { service } = row.endpoint;
    counts.set(service, (counts.get(service) ?? 0) + 1);
  }
  return counts;
}
