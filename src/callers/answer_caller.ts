/**
 * Writes answers to a caller.
 * @module
 */
import type { ServerResponse } from "node:http";
import type { AnswerHead } from "../calls/state.ts";
import type { CallDialect } from "../sidecar/platform_port.ts";
import { hasBody } from "./request_body.ts";

const NO_CONTENT = 204;
const NOT_MODIFIED = 304;

/** Writes the head of an endpoint's answer, and the body if it is complete. */
export function forwardAnswer(
  res: ServerResponse,
  dialect: CallDialect,
  head: AnswerHead,
  body: Buffer | undefined,
) {
  const headers = dialect.sentHeaders(head.headers, false);
  const hasLength = head.status !== NO_CONTENT && head.status !== NOT_MODIFIED;
  if (body !== undefined && hasLength) {
    // The answer to HEAD states the length of a body that is not sent.
    const isHead = res.req.method === "HEAD";
    const length = isHead ? lengthOf(head) : String(body.length);
    if (length !== undefined) headers.push("content-length", length);
  }
  res.sendDate = false;
  res.writeHead(head.status, headers);
  if (body !== undefined) res.end(body);
}

function lengthOf(head: AnswerHead): string | undefined {
  const at = head.headers.findIndex((name, index) =>
    index % 2 === 0 && name.toLowerCase() === "content-length"
  );
  return at < 0 ? undefined : head.headers[at + 1];
}

/** Options of `answerLocally`. */
export interface AnswerLocallyOptions {
  readonly status: number;
  readonly headers?: Record<string, string>;
  /** Human-readable reason, sent as the body. */
  readonly reason: string;
}

/**
 * Writes an answer that the node itself makes. If the connection will be closed
 * after the answer, the request body is read to its end first: closing earlier
 * would send a TCP reset, and the caller could lose the answer.
 */
export function answerLocally(res: ServerResponse, opts: AnswerLocallyOptions) {
  const { req } = res;
  const body = `${opts.reason}\n`;
  res.writeHead(opts.status, {
    ...opts.headers,
    "content-type": "text/plain",
    "content-length": String(Buffer.byteLength(body)),
  });
  if (res.shouldKeepAlive || !hasBody(req) || req.complete) {
    res.end(body);
    return;
  }
  res.write(body);
  req.resume();
  req.once("end", () => res.end());
}
