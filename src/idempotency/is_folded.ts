/**
 * Checks whether an item still needs to be appended to the `claims` stream.
 * @module
 */
import { exhausted } from "../core/exhausted.ts";
import type { ClaimStreamItem } from "./messages.ts";
import type { ClaimsState } from "./state.ts";

/** True when the stream contains the item or makes it irrelevant. */
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
