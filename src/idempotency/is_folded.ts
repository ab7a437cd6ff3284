/**
 * Tells whether an item needs to be appended any more.
 * @module
 */
import { exhausted } from "../core/exhausted.ts";
import type { ClaimStreamItem } from "./messages.ts";
import type { ClaimsState } from "./state.ts";

/** True when the stream shows the item, or that it can't matter any more. */
export function isFolded(claims: ClaimsState, item: ClaimStreamItem): boolean {
  const known = claims.held.get(item.key);
  if (known === undefined) return false;
  const isReleased = known.released.includes(item.attempt);
  switch (item.type) {
    case "claim":
      return isReleased || known.attempt !== "";
    case "outcome":
      return known.attempt !== item.attempt || known.outcomeAt > 0;
    case "release":
      return isReleased;
    default:
      return exhausted(item);
  }
}
