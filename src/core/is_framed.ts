/**
 * Whether an answer's end shows without the connection's end.
 * @module
 */

/** Framing headers of an answer. Undefined where it has none. */
export interface Framing {
  readonly length: string | undefined;
  readonly coding: string | undefined;
}

/** An answer that is coded, but not in chunks last, has no end of its own. */
export function isFramed({ length, coding }: Framing): boolean {
  if (coding === undefined) return length !== undefined;
  return coding.split(",").at(-1)?.trim().toLowerCase() === "chunked";
}
