/**
 * JSON bodies of the admin interface.
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { err, ok, type Result } from "neverthrow";
import type { LagoonError } from "../core/errors.ts";

/** Limit on the size of an edit. Both complete lists fit into an edit. */
export const MAX_EDIT_BYTES = 4 * 1024 * 1024;

/** Limit on the size of the bodies of requests other than edits. */
export const MAX_SMALL_BODY_BYTES = 64 * 1024;

/** Why a body is refused, with the status of the answer. */
export interface BodyRefusal {
  readonly status: number;
  readonly error: LagoonError;
}

/** Reads a JSON object. Fails with `LAGOON_BODY_…`. */
export async function readJson(
  req: IncomingMessage,
  maxBytes: number,
): Promise<Result<Record<string, unknown>, BodyRefusal>> {
  const chunks: Buffer[] = [];
  let length = 0;
  for await (const chunk of req) {
    length += chunk.length;
    // The rest is read and dropped, so that the client receives the answer.
    if (length <= maxBytes) chunks.push(chunk);
    else chunks.length = 0;
  }
  if (length > maxBytes) {
    const message = `the body has ${length} bytes, at most ${maxBytes} fit`;
    return err(refusal(req, 413, "LAGOON_BODY_TOO_LARGE", message));
  }
  const malformed = (message: string) =>
    err(refusal(req, 400, "LAGOON_BODY_MALFORMED", message));
  try {
    const text = new TextDecoder("utf-8", { fatal: true })
      .decode(Buffer.concat(chunks));
    const value: unknown = JSON.parse(text);
    const isObject = typeof value === "object" && value !== null &&
      !Array.isArray(value);
    return isObject
      ? ok(value as Record<string, unknown>)
      : malformed("expected a JSON object");
  } catch (cause) {
    return malformed(cause instanceof Error ? cause.message : String(cause));
  }
}

function refusal(
  req: IncomingMessage,
  status: number,
  code: LagoonError["code"],
  message: string,
): BodyRefusal {
  const step = `${req.method} ${req.url}`;
  return { status, error: { code, step, message } };
}

/** Answers with a value. */
export function send(res: ServerResponse, status: number, body: unknown) {
  res.writeHead(status, { "content-type": "application/json" });
  res.end(`${JSON.stringify(body)}\n`);
}

/** Answers with an error. */
export function sendError(
  res: ServerResponse,
  status: number,
  error: Pick<LagoonError, "code" | "message">,
) {
  const { code, message } = error;
  send(res, status, { code, message });
}
