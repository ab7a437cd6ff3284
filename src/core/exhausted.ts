/**
 * Marks the end of an exhaustive switch.
 * @module
 */

/**
 * Throws. Called in the default case of an exhaustive switch: the call does not
 * compile while a variant of the union is unhandled.
 */
export function exhausted(variant: never): never {
  throw new TypeError(`unhandled variant: ${JSON.stringify(variant)}`);
}
