/**
 * Parses the deadline header of a call.
 * @module
 */

/** A deadline is a whole number of milliseconds with at most 12 digits. */
const DEADLINE_PATTERN = /^[0-9]{1,12}$/;

/**
 * Returns the milliseconds until the deadline: `Infinity` without a header,
 * undefined when malformed.
 */
export function parseDeadline(header: unknown): number | undefined {
  if (header === undefined) return Infinity;
  if (typeof header !== "string") return undefined;
  const isNumber = DEADLINE_PATTERN.test(header) && Number(header) > 0;
  return isNumber ? Number(header) : undefined;
}
