/**
 * Client of a node's operators' port.
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import { request } from "undici";
import type { LagoonError } from "../core/errors.ts";

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

/** Calls a node. Fails with `LAGOON_NODE_UNREACHABLE`. */
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
    return ok({ status: res.statusCode, body: await res.body.json() });
  } catch (cause) {
    return err({
      code: "LAGOON_NODE_UNREACHABLE",
      step,
      peer,
      message: String(cause),
      hint: "Check --node, or ask another node.",
    });
  }
}
