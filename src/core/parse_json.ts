/**
 * Parses JSON of another process.
 * @module
 */

/** Undefined when the text is not JSON; the caller's schema then refuses it. */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
