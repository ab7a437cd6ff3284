/**
 * Parses JSON from another process.
 * @module
 */

/**
 * Returns the parsed value, or undefined when the text is not JSON. The schema
 * of the caller then rejects it.
 */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
