/**
 * Checks the shared key of peers and operators.
 * @module
 */
import { createHash, timingSafeEqual } from "node:crypto";

/**
 * True when the header carries one of the keys, or when there are no keys.
 * Takes the same time whichever key is wrong and however.
 */
export function isAuthorized(
  header: string | undefined,
  keys: readonly string[],
): boolean {
  if (keys.length === 0) return true;
  const given = digest(header?.replace(/^Bearer /, "") ?? "");
  let isMatch = false;
  for (const key of keys) {
    isMatch = timingSafeEqual(given, digest(key)) || isMatch;
  }
  return isMatch;
}

/** Hashing makes keys of any length comparable in constant time. */
function digest(key: string): Buffer {
  return createHash("sha256").update(key).digest();
}
