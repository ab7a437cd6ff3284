/**
 * Puts a newer route table in force.
 * @module
 */
import type { RoutesState, RouteTable } from "./state.ts";

/** Answers a storm of changes that reaches a node by several paths at once. */
export function adoptTable(state: RoutesState, table: RouteTable): boolean {
  if (state.table !== undefined && table.version <= state.table.version) {
    return false;
  }
  state.table = table;
  const names = new Set<string>();
  for (const routes of table.hosts.values()) {
    for (const route of routes.values()) names.add(route.name);
  }
  for (const name of state.credits.keys()) {
    if (!names.has(name)) state.credits.delete(name);
  }
  return true;
}
