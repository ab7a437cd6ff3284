/**
 * Tells whether the holder was told of a hold that it has not released.
 * @module
 */
import type { Leadership } from "./state.ts";

/** True while some node or domain holds the version unconfirmed. */
export function hasOpenHold(lead: Leadership): boolean {
  return [...lead.holds.values()].some((hold) => hold.isOpen);
}
