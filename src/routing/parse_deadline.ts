/**
 * Reads the time that a caller gives a call.
 * @module
 */

/** Longest number of digits that a deadline may have. */
const deadlinePattern = /^[0-9]{1,12}$/;

/** Milliseconds, `Infinity` without a header, undefined when malformed. */
export function parseDeadline(header: unknown): number | undefined {
  if (header === undefined) return Infinity;
  if (typeof header !== "string") return undefined;
  const isNumber = deadlinePattern.test(header) && Number(header) > 0;
  return isNumber ? Number(header) : undefined;
}
