/**
 * A call as it passes through a node, and answers that the node gives itself.
 * @module
 */
import type {
  IncomingHttpHeaders,
  IncomingMessage,
  ServerResponse,
} from "node:http";
import type { MonotonicMs } from "../core/types.ts";
import { notRunHeader, reasonHeader } from "../routing/headers.ts";

/** One call to a service version. */
export interface CallRequest {
  readonly method: string;
  readonly service: string;
  readonly version: string;
  /** Path below the service, with its query. */
  readonly path: string;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
  readonly deadlineAt: MonotonicMs;
}

/** Largest body that is held for a retry, in bytes. */
const maxBodyBytes = 1024 * 1024;

const hopByHop = new Set([
  "connection",
  "content-length",
  "host",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);

const internalPrefix = "lagoon-";

/** Leaves out hop-by-hop and internal headers. */
export function sendableHeaders(
  headers: IncomingHttpHeaders,
): Record<string, string | string[]> {
  const kept: Record<string, string | string[]> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || hopByHop.has(name)) continue;
    if (name.startsWith(internalPrefix)) continue;
    kept[name] = value;
  }
  return kept;
}

/** Answers for a call that did not run. */
export function refuseNotRun(
  res: ServerResponse,
  code: `LAGOON_${string}`,
  reason: string,
  status = 503,
) {
  if (res.headersSent) {
    res.destroy();
    return;
  }
  res.writeHead(status, {
    "content-type": "text/plain",
    [notRunHeader]: "true",
    [reasonHeader]: code,
    ...(status === 503 ? { "retry-after": "1" } : {}),
  });
  res.end(`${code}: ${reason}.\n`);
}

/** Reads a body. Undefined when it is larger than may be held. */
export async function readBody(
  req: IncomingMessage,
): Promise<Buffer | undefined> {
  const chunks: Buffer[] = [];
  let length = 0;
  for await (const chunk of req) {
    length += chunk.length;
    if (length > maxBodyBytes) return undefined;
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
}
