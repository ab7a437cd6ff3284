/**
 * The type of a call on its way through a node, and the answers that the node
 * creates itself.
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

/** Headers in the form that undici and `node:http` accept. */
export type SentHeaders = Record<string, string | string[]>;

/** One call to a service version. */
export interface CallRequest {
  readonly method: string;
  readonly service: string;
  readonly version: string;
  readonly route: string;
  readonly plan: string;
  readonly isRepeatable: boolean;
  /** Path without the service name, with its query. */
  readonly path: string;
  /** End-to-end headers and the customer header. Copied, never changed. */
  readonly headers: SentHeaders;
  readonly body: CallBody;
  readonly deadlineAt: MonotonicMs;
  /** How many more times the call may be forwarded to another node. */
  readonly hopsLeft: number;
  /** Identifies the request and its resends for the quarantine. */
  readonly fingerprint: string;
  /**
   * Copies the answer of a call with a claim. Such a call continues when its
   * caller leaves, so that a resend finds its outcome.
   */
  readonly capture?: AnswerCapture;
}

/** Headers that belong to one connection and are not forwarded. */
const HOP_BY_HOP_HEADERS = new Set([
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

/** Prefix of headers that only nodes set. */
const INTERNAL_PREFIX = "lagoon-";

/**
 * Copies end-to-end headers. Drops hop-by-hop headers, headers that
 * `connection` names, and all internal headers except the customer's.
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
    if (value === undefined || HOP_BY_HOP_HEADERS.has(name)) continue;
    if (name.startsWith(INTERNAL_PREFIX) && name !== CUSTOMER_HEADER) continue;
    // `connection` must not remove the header that frames the body.
    if (named?.has(name) && name !== "content-length") continue;
    kept[name] = value;
  }
  return Object.assign(kept, extra);
}

function isPlainConnection(value: string): boolean {
  return value === "keep-alive" || value === "close";
}

/** Answers a call that did not run. */
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

/** Answers a call that may have run. */
export function failUnknown(
  res: ServerResponse,
  reason: string,
  isLate: boolean,
) {
  // A truncated answer must not look complete.
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

/** Closes the connection if its request was not read to the end. */
function closeUnread(res: ServerResponse): Record<string, string> {
  return res.req.complete ? {} : { connection: "close" };
}
