/**
 * Ends an incomplete answer so that the caller can tell it is truncated.
 * @module
 */
import type { ServerResponse } from "node:http";

/**
 * Closes the caller's connection. An HTTP/1.0 caller takes the close of the
 * connection for the end of the answer, so the connection is reset. Other
 * callers detect the truncation by the length or the chunks, and a reset could
 * discard earlier answers that they have not read from the connection.
 */
export function abortAnswer(res: ServerResponse) {
  if (res.req.httpVersion === "1.0") res.socket?.resetAndDestroy();
  res.destroy();
}
