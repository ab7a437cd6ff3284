/**
 * Checks whether the lease holder has recorded holds that it has not released.
 * @module
 */
import type { Leadership } from "./state.ts";

/** True while a recorded hold is not released. */
export function hasOpenHold(lead: Leadership): boolean {
  return [...lead.holds.values()].some((hold) => hold.isOpen);
}
