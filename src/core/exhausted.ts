/**
 * Marks the end of an exhaustive switch.
 * @module
 */

/** A call fails to compile while a variant of the union is not handled. */
export function exhausted(variant: never): never {
  throw new TypeError(`unhandled variant: ${JSON.stringify(variant)}`);
}
