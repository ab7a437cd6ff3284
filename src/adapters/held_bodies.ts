/**
 * Limits the memory for request bodies that a node holds for retries.
 * @module
 */

/** Limit on the total size of the bodies held at the same time. */
const MAX_TOTAL_HELD_BYTES = 8 * 1024 * 1024;

export interface HeldBodies {
  /** False when there is no room left for `length` bytes. */
  reserve(length: number): boolean;
  release(length: number): void;
}

/** Creates the byte counter of one node. */
export function createHeldBodies(): HeldBodies {
  let total = 0;
  return {
    reserve(length) {
      if (total + length > MAX_TOTAL_HELD_BYTES) return false;
      total += length;
      return true;
    },
    release: (length) => total -= length,
  };
}
