/**
 * The body of a call: none, held in memory for retries, or streamed once.
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";

/** Limit on the size of a body that is held in memory for retries, in bytes. */
export const MAX_HELD_BYTES = 64 * 1024;

export type CallBody =
  | { readonly type: "none" }
  | { readonly type: "held"; readonly bytes: Buffer }
  | {
    readonly type: "streamed";
    readonly req: IncomingMessage;
    /** Sends `100 Continue` if the sender waits for it. Call before reading. */
    readonly begin: () => void;
    /** Whether reading has begun, so that the body can't be sent again. */
    isBegun: boolean;
  };

/**
 * Reads a small body into memory. A body that is large or has no
 * `content-length` is streamed.
 */
export async function openBody(
  req: IncomingMessage,
  res: ServerResponse,
): Promise<CallBody> {
  const { "content-length": length, "transfer-encoding": coding } = req.headers;
  if (length === undefined && coding === undefined) return { type: "none" };
  if (length === "0") return { type: "none" };
  const waits = req.headers.expect !== undefined;
  const begin = () => {
    if (waits && !res.headersSent) res.writeContinue();
  };
  const isSmall = length !== undefined && Number(length) <= MAX_HELD_BYTES;
  if (!isSmall) return { type: "streamed", req, begin, isBegun: false };
  begin();
  const chunks: Buffer[] = [];
  for await (const chunk of req) chunks.push(chunk);
  const [only] = chunks;
  const bytes = chunks.length === 1 && only !== undefined
    ? only
    : Buffer.concat(chunks);
  return { type: "held", bytes };
}

/** Returns whether the body can still be sent to another home node. */
export function canSendBody(body: CallBody): boolean {
  return body.type !== "streamed" || !body.isBegun;
}
