/**
 * The body of a request while it is read, kept for a second attempt.
 * @module
 */
import type { IncomingMessage } from "node:http";

/** A body larger than this can't be sent again. */
const maxKeptBytes = 1_048_576;

/** Bytes that may wait for a home before reading pauses. */
const maxAheadBytes = 262_144;

/** Takes the parts of a body in order. */
export interface BodySink {
  send(chunk: Buffer): void;
  finish(): void;
}

export interface RequestBody {
  /** Length that the client announced; undefined for a chunked body. */
  readonly announcedBytes: number | undefined;
  /** Bytes read so far. */
  size(): number;
  /** True when every byte is here or can still come. */
  canResend(): boolean;
  /** The body, once it is whole. */
  whole(): Buffer | undefined;
  /** Sends all parts to the sink, those read before included. */
  pipe(sink: BodySink): void;
  unpipe(sink: BodySink): void;
  /** Reads the rest and keeps nothing, so that its connection can go on. */
  close(): void;
}

/** Options of `readBody`. */
export interface ReadBodyOptions {
  readonly req: IncomingMessage;
  readonly maxBytes: number;
  readonly onWhole: () => void;
  readonly onTooLarge: () => void;
}

/** Whether a request announces a body. */
export function hasBody(req: IncomingMessage): boolean {
  return req.headers["transfer-encoding"] !== undefined ||
    Number(req.headers["content-length"] ?? 0) > 0;
}

/** Starts reading a body. */
export function readBody(opts: ReadBodyOptions): RequestBody {
  const { req } = opts;
  const announced = req.headers["content-length"];
  const parts: Buffer[] = [];
  const sinks = new Set<BodySink>();
  let size = 0;
  let isWhole = false;
  let isDropped = false;
  let isClosed = false;

  req.on("data", (chunk: Buffer) => {
    size += chunk.length;
    if (size > opts.maxBytes) return opts.onTooLarge();
    if (isClosed) return;
    if (size > maxKeptBytes && sinks.size > 0) isDropped = true;
    if (!isDropped) parts.push(chunk);
    else parts.length = 0;
    for (const sink of sinks) sink.send(chunk);
    if (sinks.size === 0 && size > maxAheadBytes) req.pause();
  });
  req.on("end", () => {
    isWhole = true;
    for (const sink of sinks) sink.finish();
    opts.onWhole();
  });

  return {
    announcedBytes: announced === undefined ? undefined : Number(announced),
    size: () => size,
    canResend: () => !isDropped,
    whole: () => isWhole && !isDropped ? Buffer.concat(parts, size) : undefined,
    pipe(sink) {
      for (const part of parts) sink.send(part);
      if (isWhole) sink.finish();
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
