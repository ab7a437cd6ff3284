/**
 * Bounds the memory of bodies that a node holds for retries.
 * @module
 */

/** Bodies held at once, in bytes. */
const maxHeldTotal = 8 * 1024 * 1024;

export interface HeldBodies {
  /** False when there is no room left for `length` bytes. */
  take(length: number): boolean;
  give(length: number): void;
}

/** Creates the account of one node. */
export function createHeldBodies(): HeldBodies {
  let total = 0;
  return {
    take(length) {
      if (total + length > maxHeldTotal) return false;
      total += length;
      return true;
    },
    give: (length) => total -= length,
  };
}
