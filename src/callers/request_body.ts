/**
 * Reads the body of a request and retains it for further attempts.
 * @module
 */
import type { IncomingMessage } from "node:http";

/** Bodies above this size are not retained, so they can't be sent again. */
const MAX_RETAINED_BYTES = 1_048_576;

/**
 * Limit on the bytes read before a home admits the call. Above it, reading
 * pauses.
 */
const MAX_UNSENT_BYTES = 262_144;

/** Receives the chunks of a body in order. */
export interface BodySink {
  send(chunk: Buffer): void;
  finish(): void;
}

export interface RequestBody {
  /** Content-Length of the request; undefined for a chunked body. */
  readonly declaredBytes: number | undefined;
  /** Bytes read so far. */
  size(): number;
  /** Whether all bytes read so far are retained. */
  canResend(): boolean;
  /** The body, once it is read and if it is retained completely. */
  complete(): Buffer | undefined;
  /** Sends all chunks to the sink, including those read before. */
  pipe(sink: BodySink): void;
  unpipe(sink: BodySink): void;
  /** Discards the rest, so that the connection can be used further. */
  close(): void;
}

/** Options of `readBody`. */
export interface ReadBodyOptions {
  readonly req: IncomingMessage;
  readonly maxBytes: number;
  readonly onComplete: () => void;
  readonly onTooLarge: () => void;
}

/** Whether the headers of a request state a body. */
export function hasBody(req: IncomingMessage): boolean {
  return req.headers["transfer-encoding"] !== undefined ||
    Number(req.headers["content-length"] ?? 0) > 0;
}

/** Starts reading a body. */
export function readBody(opts: ReadBodyOptions): RequestBody {
  const { req } = opts;
  const contentLength = req.headers["content-length"];
  const parts: Buffer[] = [];
  const sinks = new Set<BodySink>();
  let size = 0;
  let isComplete = false;
  let isDropped = false;
  let isClosed = false;

  req.on("data", (chunk: Buffer) => {
    size += chunk.length;
    if (size > opts.maxBytes) return opts.onTooLarge();
    if (isClosed) return;
    if (size > MAX_RETAINED_BYTES && sinks.size > 0) isDropped = true;
    if (!isDropped) parts.push(chunk);
    else parts.length = 0;
    for (const sink of sinks) sink.send(chunk);
    if (sinks.size === 0 && size > MAX_UNSENT_BYTES) req.pause();
  });
  req.on("end", () => {
    isComplete = true;
    for (const sink of sinks) sink.finish();
    opts.onComplete();
  });

  return {
    declaredBytes: contentLength === undefined
      ? undefined
      : Number(contentLength),
    size: () => size,
    canResend: () => !isDropped,
    complete: () =>
      isComplete && !isDropped ? Buffer.concat(parts, size) : undefined,
    pipe(sink) {
      for (const part of parts) sink.send(part);
      if (isComplete) sink.finish();
      else sinks.add(sink);
      req.resume();
    },
    unpipe: (sink) => sinks.delete(sink),
    close() {
      isClosed = true;
      isDropped = true;
      parts.length = 0;
      sinks.clear();
      req.resume();
    },
  };
}
