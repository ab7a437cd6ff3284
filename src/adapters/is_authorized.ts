/**
 * Checks the shared key of peers and operators.
 * @module
 */
import { createHash, timingSafeEqual } from "node:crypto";

/**
 * True if the header has one of the keys, or if there are no keys. Compares in
 * constant time, so that timing reveals nothing about the keys.
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
