/**
 * Finds out whether this node is cut off from the other failure domains.
 * @module
 */
import type { FleetState } from "./state.ts";

/** Returns whether other failure domains are known but none is linked. */
export function isCutOff(
  { self, domain, rows, linked }: Pick<
    FleetState,
    "self" | "domain" | "rows" | "linked"
  >,
): boolean {
  let isOtherKnown = false;
  for (const { row } of rows.values()) {
    if (row.node === self || row.domain === domain) continue;
    if (linked.has(row.node)) return false;
    isOtherKnown = true;
  }
  return isOtherKnown;
}
