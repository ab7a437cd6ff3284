/**
 * Client of a node's operators' port.
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import { request } from "undici";
import type { LagoonError } from "../core/errors.ts";
import { parseJson } from "../core/parse_json.ts";

/** Options of `callAdmin`. */
export interface CallAdminOptions {
  /** `host:port` of a node's operators' port. */
  readonly node: string;
  readonly key?: string;
  readonly method: "GET" | "POST" | "PUT";
  readonly path: string;
  readonly body?: unknown;
}

/** A node's answer. Verdicts of refused records come with status 409. */
export interface AdminReply {
  readonly status: number;
  readonly body: unknown;
}

const timeoutMs = 30_000;

/**
 * Calls a node. Fails with `LAGOON_NODE_UNREACHABLE` when it got no request,
 * and with `LAGOON_NODE_SILENT` when it may have acted on one.
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
      headersTimeout: timeoutMs,
      bodyTimeout: timeoutMs,
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

const connectFailures: ReadonlySet<string> = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "ENOTFOUND",
  "UND_ERR_CONNECT_TIMEOUT",
]);

/** True when the connection failed, so that the node got no request. */
function isUnsent(cause: unknown): boolean {
  const code = (cause as { code?: unknown } | undefined)?.code;
  return typeof code === "string" && connectFailures.has(code);
}
