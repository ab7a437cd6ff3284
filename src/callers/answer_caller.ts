/**
 * Writes answers to a caller.
 * @module
 */
import type { ServerResponse } from "node:http";
import type { AnswerHead } from "../calls/state.ts";
import type { CallDialect } from "../sidecar/platform_port.ts";
import { hasBody } from "./request_body.ts";

const noContent = 204;
const notModified = 304;

/** Writes an endpoint's head, and its body when it is whole. */
export function forwardAnswer(
  res: ServerResponse,
  dialect: CallDialect,
  head: AnswerHead,
  body: Buffer | undefined,
) {
  const headers = dialect.sentHeaders(head.headers);
  const hasLength = head.status !== noContent && head.status !== notModified;
  if (body !== undefined && hasLength) {
    // The answer to HEAD announces the length of a body that does not come.
    const isHead = res.req.method === "HEAD";
    const announced = isHead ? lengthOf(head) : String(body.length);
    if (announced !== undefined) headers.push("content-length", announced);
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
  /** One sentence for people. */
  readonly reason: string;
}

/**
 * Writes an answer of the node's own. A connection that ends behind it is closed
 * once the request is read: closed before, it would be reset, and a reset may
 * take the answer with it.
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
