/**
 * Hashes API keys, so that nodes can compare them without exchanging them.
 * @module
 */
import { createHash } from "node:crypto";

/** Length of the truncated hash in bytes. It fits into a safe integer. */
const HASH_BYTES = 6;

/** Returns the first 48 bits of the SHA-256 of a key. */
export function hashKey(key: string): number {
  return createHash("sha256").update(key).digest().readUIntBE(0, HASH_BYTES);
}
