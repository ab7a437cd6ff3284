/**
 * Client of a node's admin interface.
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import { request } from "undici";
import type { LagoonError } from "../core/errors.ts";
import { parseJson } from "../core/parse_json.ts";

/** Options of `callAdmin`. */
export interface CallAdminOptions {
  /** `host:port` of a node's admin interface. */
  readonly node: string;
  readonly key?: string;
  readonly method: "GET" | "POST" | "PUT";
  readonly path: string;
  readonly body?: unknown;
}

/** A node's answer. Verdicts on refused records have status 409. */
export interface AdminReply {
  readonly status: number;
  readonly body: unknown;
}

const REQUEST_TIMEOUT_MS = 30_000;

/**
 * Sends a request to a node. Fails with `LAGOON_NODE_UNREACHABLE` if the node
 * did not receive it, and with `LAGOON_NODE_SILENT` if it may have.
 */
export async function callAdmin(
  opts: CallAdminOptions,
): Promise<Result<AdminReply, LagoonError>> {
  const step = `${opts.method} ${opts.path}`;
  const peer = opts.node;
  try {
    const res = await request(`http://${opts.node}${opts.path}`, {
      method: opts.method,
      headers: {
        "content-type": "application/json",
        ...(opts.key === undefined
          ? {}
          : { authorization: `Bearer ${opts.key}` }),
      },
      ...(opts.body === undefined ? {} : { body: JSON.stringify(opts.body) }),
      headersTimeout: REQUEST_TIMEOUT_MS,
      bodyTimeout: REQUEST_TIMEOUT_MS,
    });
    const text = await res.body.text();
    return ok({ status: res.statusCode, body: parseJson(text) });
  } catch (cause) {
    return err({
      code: isUnsent(cause) ? "LAGOON_NODE_UNREACHABLE" : "LAGOON_NODE_SILENT",
      step,
      peer,
      message: String(cause),
      hint: "Check --node, or ask another node.",
    });
  }
}

const CONNECT_FAILURE_CODES: ReadonlySet<string> = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "ENOTFOUND",
  "UND_ERR_CONNECT_TIMEOUT",
]);

/** True if the connection failed, so that no request was sent. */
function isUnsent(cause: unknown): boolean {
  const code = (cause as { code?: unknown } | undefined)?.code;
  return typeof code === "string" && CONNECT_FAILURE_CODES.has(code);
}
