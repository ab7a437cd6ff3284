/**
 * Checks whether an HTTP answer is framed: whether its end can be detected
 * without the end of the connection.
 * @module
 */

/** Framing headers of an answer: content-length and transfer-encoding. */
export interface Framing {
  readonly length: string | undefined;
  readonly coding: string | undefined;
}

/**
 * Returns whether an answer is framed. With a transfer coding it is framed only
 * if `chunked` is the last coding.
 */
export function isFramed({ length, coding }: Framing): boolean {
  if (coding === undefined) return length !== undefined;
  return coding.split(",").at(-1)?.trim().toLowerCase() === "chunked";
}
