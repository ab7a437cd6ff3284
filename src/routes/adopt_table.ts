/**
 * Replaces the route table by a newer one.
 * @module
 */
import type { RoutesState, RouteTable } from "./state.ts";

/**
 * Replaces the route table if the given one has a higher version, and returns
 * whether it did. The same change may arrive over several paths, in any order.
 */
export function adoptTable(state: RoutesState, table: RouteTable): boolean {
  if (state.table !== undefined && table.version <= state.table.version) {
    return false;
  }
  state.table = table;
  const names = new Set<string>();
  for (const routes of table.hosts.values()) {
    for (const route of routes.values()) names.add(route.name);
  }
  for (const name of state.remainders.keys()) {
    if (!names.has(name)) state.remainders.delete(name);
  }
  return true;
}
