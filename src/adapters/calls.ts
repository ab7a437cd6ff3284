/**
 * A call as it passes through a node, and answers that the node gives itself.
 * @module
 */
import type { IncomingHttpHeaders, ServerResponse } from "node:http";
import { abortAnswer } from "../core/abort_answer.ts";
import type { MonotonicMs } from "../core/types.ts";
import {
  CUSTOMER_HEADER,
  NOT_RUN_HEADER,
  REASON_HEADER,
} from "../routing/headers.ts";
import type { CallBody } from "./call_body.ts";
import type { AnswerCapture } from "./capture_answer.ts";

/** Headers as both HTTP clients take them. */
export type SentHeaders = Record<string, string | string[]>;

/** One call to a service version. */
export interface CallRequest {
  readonly method: string;
  readonly service: string;
  readonly version: string;
  readonly route: string;
  readonly plan: string;
  readonly isRepeatable: boolean;
  /** Path below the service, with its query. */
  readonly path: string;
  /** End-to-end headers, the customer's included. Copied, never changed. */
  readonly headers: SentHeaders;
  readonly body: CallBody;
  readonly deadlineAt: MonotonicMs;
  /** Times that the call may still be passed to another node. */
  readonly hopsLeft: number;
  /** Identifies the request and its resends to the quarantine. */
  readonly fingerprint: string;
  /**
   * Copies the answer of a claimed call. Such a call goes on when its caller
   * leaves, so that a resend finds its outcome.
   */
  readonly capture?: AnswerCapture;
}

const hopByHop = new Set([
  "connection",
  "expect",
  "host",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);

const internalPrefix = "lagoon-";

/**
 * Copies end-to-end headers. Leaves out what belongs to one connection, what
 * `connection` names, and all internal headers but the customer's.
 */
export function sendableHeaders(
  headers: IncomingHttpHeaders,
  extra: SentHeaders = {},
): SentHeaders {
  const kept: SentHeaders = {};
  const { connection } = headers;
  const named = connection === undefined || isPlainConnection(connection)
    ? undefined
    : new Set(connection.toLowerCase().split(/\s*,\s*/));
  for (const name in headers) {
    const value = headers[name];
    if (value === undefined || hopByHop.has(name)) continue;
    if (name.startsWith(internalPrefix) && name !== CUSTOMER_HEADER) continue;
    // A framing header can't be dropped by naming it.
    if (named?.has(name) && name !== "content-length") continue;
    kept[name] = value;
  }
  return Object.assign(kept, extra);
}

function isPlainConnection(value: string): boolean {
  return value === "keep-alive" || value === "close";
}

/** Answers for a call that did not run. */
export function refuseNotRun(
  res: ServerResponse,
  code: `LAGOON_${string}`,
  reason: string,
  status = 503,
) {
  if (res.headersSent) {
    abortAnswer(res);
    return;
  }
  res.writeHead(status, {
    "content-type": "text/plain",
    [NOT_RUN_HEADER]: "true",
    [REASON_HEADER]: code,
    ...(status === 503 ? { "retry-after": "1" } : {}),
    ...closeUnread(res),
  });
  res.end(`${code}: ${reason}.\n`);
}

/** Answers for a call that may have run. */
export function failUnknown(
  res: ServerResponse,
  reason: string,
  isLate: boolean,
) {
  // A broken answer must not look whole.
  if (res.headersSent) {
    abortAnswer(res);
    return;
  }
  res.writeHead(isLate ? 504 : 502, {
    "content-type": "text/plain",
    [REASON_HEADER]: isLate ? "LAGOON_CALL_LATE" : "LAGOON_CALL_UNKNOWN",
    ...closeUnread(res),
  });
  res.end(`${reason}. The call may have run.\n`);
}

/** A connection whose request was not read to its end can't be used again. */
function closeUnread(res: ServerResponse): Record<string, string> {
  return res.req.complete ? {} : { connection: "close" };
}
