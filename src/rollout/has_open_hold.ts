/**
 * Checks whether the lease holder has reported holds that it has not released.
 * @module
 */
import type { Leadership } from "./state.ts";

/** True while a node or domain holds the version without confirmation. */
export function hasOpenHold(lead: Leadership): boolean {
  return [...lead.holds.values()].some((hold) => hold.isOpen);
}
