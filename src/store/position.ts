/**
 * Positions in a topic. The store may be restored from an older copy, and then
 * gives out the offsets after that copy again, in its next era. A position
 * joins era and offset into one number, so that a later position is always the
 * higher one.
 * @module
 */
import type { Offset } from "../core/types.ts";

/** Offsets of one era. Leaves 2^13 eras within the exact integers. */
const OFFSETS_PER_ERA = 2 ** 40;

/** Returns the position of an offset in an era. Era 0 leaves it unchanged. */
export function positionOf(era: number, offset: Offset): Offset {
  return era * OFFSETS_PER_ERA + offset;
}

/** Returns the era of a position; 0 for the position before all records. */
export function eraOf(position: Offset): number {
  return position < 0 ? 0 : Math.floor(position / OFFSETS_PER_ERA);
}

/**
 * Returns the offset that the store knows, within the era of the position. A
 * node that is ahead of a restored store adds a fraction to its position.
 */
export function offsetOf(position: Offset): Offset {
  return position < 0 ? position : Math.floor(position % OFFSETS_PER_ERA);
}
