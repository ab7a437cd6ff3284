/**
 * Ends an answer that is not whole, so that its caller can tell.
 * @module
 */
import type { ServerResponse } from "node:http";

/**
 * Closes the caller's connection. An HTTP/1.0 caller takes its end for the
 * answer's end, so it is reset. Others know the answer's length or chunks, and a
 * reset could take earlier answers on their connection with it.
 */
export function abortAnswer(res: ServerResponse) {
  if (res.req.httpVersion === "1.0") res.socket?.resetAndDestroy();
  res.destroy();
}
