/**
 * Finds evacuations that ended without a record that says so.
 * @module
 */
import type { KeyedRecord } from "../store/state.ts";

/**
 * Returns those of the known keys that a complete read of the topic lacks. The
 * store drops the records of removed keys after a while, so a node that read
 * neither then gets no record of the removal.
 */
export function findRemovedKeys(
  known: Iterable<string>,
  read: readonly KeyedRecord[],
): string[] {
  const present = new Set(read.map(({ key }) => key));
  return [...known].filter((key) => !present.has(key));
}
