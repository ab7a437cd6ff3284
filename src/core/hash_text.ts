/**
 * Hashes short texts, such as node addresses.
 * @module
 */

/** Constants of the FNV-1a hash. */
const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** Factors of the last step of MurmurHash3. */
const MIX_FACTORS = [0x85ebca6b, 0xc2b2ae35] as const;

/** Returns a 32-bit hash of a text, which is the same on all nodes. */
export function hashText(text: string): number {
  let hash = FNV_OFFSET;
  for (let at = 0; at < text.length; at++) {
    hash = Math.imul(hash ^ text.charCodeAt(at), FNV_PRIME);
  }
  // FNV-1a mixes the last characters poorly, in which addresses differ most.
  hash = Math.imul(hash ^ (hash >>> 16), MIX_FACTORS[0]);
  hash = Math.imul(hash ^ (hash >>> 13), MIX_FACTORS[1]);
  return (hash ^ (hash >>> 16)) >>> 0;
}
