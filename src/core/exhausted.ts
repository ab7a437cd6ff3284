/**
 * Marks the end of an exhaustive switch.
 * @module
 */

/** Fails to compile when a variant of a union is not handled. */
export function exhausted(variant: never): never {
  throw new TypeError(`unhandled variant: ${JSON.stringify(variant)}`);
}
