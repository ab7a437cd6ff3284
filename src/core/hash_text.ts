/**
 * Hashes short texts, such as node addresses.
 * @module
 */

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** Returns the 32-bit FNV-1a hash of a text. Equal on all nodes. */
export function hashText(text: string): number {
  let hash = FNV_OFFSET;
  for (let at = 0; at < text.length; at++) {
    hash = Math.imul(hash ^ text.charCodeAt(at), FNV_PRIME);
  }
  // FNV-1a mixes the last characters poorly, in which addresses differ most.
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}
