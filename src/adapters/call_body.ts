/**
 * The body of a call: none, held for a retry, or streamed once.
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";

/** Largest body that is held for a retry, in bytes. */
export const MAX_HELD_BYTES = 64 * 1024;

export type CallBody =
  | { readonly type: "none" }
  | { readonly type: "held"; readonly bytes: Buffer }
  | {
    readonly type: "streamed";
    readonly req: IncomingMessage;
    /** Tells a sender that waits for it to go on. Call before reading. */
    readonly begin: () => void;
    /** Whether its bytes have begun to flow, so it can't be sent again. */
    isBegun: boolean;
  };

/** Reads a small body whole. A large or unbounded one stays a stream. */
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

/** Whether the body can still be sent to another home. */
export function canSendBody(body: CallBody): boolean {
  return body.type !== "streamed" || !body.isBegun;
}
