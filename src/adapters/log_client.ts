/**
 * Client of the platform's append-only log service.
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import Pool from "undici/lib/dispatcher/pool.js";
import * as v from "valibot";
import type { LogRecord } from "../config_log/messages.ts";
import type { LagoonError } from "../core/errors.ts";
import type { Offset } from "../core/types.ts";
import { requestThrough } from "./request_through.ts";

/** First and next offset of a stream. */
export interface LogBounds {
  /** Oldest offset within retention. */
  readonly oldest: Offset;
  /** Offset that the next record will get. */
  readonly head: Offset;
}

/** One page of a stream. */
export interface LogPage extends LogBounds {
  readonly records: readonly LogRecord[];
}

/** Error code for a read of offsets that are past retention. */
export const OFFSET_GONE_CODE = "LAGOON_LOG_OFFSET_GONE";

export interface LogClient {
  /**
   * Appends records in order. After an error, the records may still have been
   * appended, since the reply may have been lost.
   */
  append(
    stream: string,
    bodies: readonly string[],
  ): Promise<Result<Offset, LagoonError>>;
  /** Reads from an offset. Waits up to `waitMs` when there are no records. */
  read(opts: ReadPageOptions): Promise<Result<LogPage, LagoonError>>;
  /** Reads the oldest offset and the head. */
  bounds(stream: string): Promise<Result<LogBounds, LagoonError>>;
  readonly totals: Readonly<LogTotals>;
  close(): Promise<void>;
}

/** Requests and body bytes since the start. */
export interface LogTotals {
  requests: number;
  sentBytes: number;
  receivedBytes: number;
}

/** Options of `LogClient.read`. */
export interface ReadPageOptions {
  readonly stream: string;
  readonly from: Offset;
  /** Maximum wait for a new record, in milliseconds. */
  readonly waitMs: number;
  /** Maximum number of records, 500 if absent. */
  readonly max?: number;
}

/** Options of `createLogClient`. */
export interface CreateLogClientOptions {
  readonly url: string;
  /** Timeout of a request in milliseconds, in addition to a read's wait. */
  readonly timeoutMs: number;
}

const MAX_PAGE_RECORDS = 500;
const STATUS_GONE = 410;
const STATUS_OK = 200;

const boundsSchema = v.object({ oldest: v.number(), head: v.number() });
const pageSchema = v.object({
  ...boundsSchema.entries,
  records: v.array(v.object({ offset: v.number(), body: v.string() })),
});
const appendReplySchema = v.object({ first: v.number() });

/** Creates a client. `close` ends its connections. */
export function createLogClient(opts: CreateLogClientOptions): LogClient {
  const url = new URL(opts.url);
  const pool = new Pool(url.origin, { connections: 4 });
  const totals = { requests: 0, sentBytes: 0, receivedBytes: 0 };
  const call = <T extends v.GenericSchema>(request: LogRequest<T>) =>
    callLog(pool, url.host, totals, request);
  return {
    totals,
    append: async (stream, bodies) => {
      const reply = await call({
        method: "POST",
        path: `/streams/${stream}/records`,
        body: JSON.stringify({ records: bodies }),
        timeoutMs: opts.timeoutMs,
        schema: appendReplySchema,
      });
      return reply.map((one) => one.first);
    },
    read: ({ stream, from, waitMs, max = MAX_PAGE_RECORDS }) =>
      call({
        method: "GET",
        path: `/streams/${stream}/records?from=${from}&max=${max}` +
          `&wait_ms=${waitMs}`,
        timeoutMs: waitMs + opts.timeoutMs,
        schema: pageSchema,
      }),
    bounds: (stream) =>
      call({
        method: "GET",
        // Offset 0 is never kept, so the log answers `gone` with its bounds.
        path: `/streams/${stream}/records?from=0&max=1&wait_ms=0`,
        timeoutMs: opts.timeoutMs,
        schema: boundsSchema,
        expectedStatus: STATUS_GONE,
      }),
    close: () => pool.destroy(),
  };
}

interface LogRequest<T extends v.GenericSchema> {
  readonly method: "GET" | "POST";
  readonly path: string;
  readonly body?: string;
  readonly timeoutMs: number;
  readonly schema: T;
  /** Expected status, 200 if absent. */
  readonly expectedStatus?: number;
}

async function callLog<T extends v.GenericSchema>(
  pool: Pool,
  peer: string,
  totals: LogTotals,
  request: LogRequest<T>,
): Promise<Result<v.InferOutput<T>, LagoonError>> {
  const step = `${request.method} ${request.path.split("?")[0]} of the log`;
  const fail = (code: LagoonError["code"], message: string) =>
    err<never, LagoonError>({ code, step, peer, message });
  totals.requests++;
  totals.sentBytes += request.path.length + (request.body?.length ?? 0);
  try {
    const res = await requestThrough(pool, {
      method: request.method,
      path: request.path,
      headers: { "content-type": "application/json" },
      ...(request.body === undefined ? {} : { body: request.body }),
      headersTimeout: request.timeoutMs,
      bodyTimeout: request.timeoutMs,
    });
    const text = await res.body.text();
    totals.receivedBytes += text.length;
    const expectedStatus = request.expectedStatus ?? STATUS_OK;
    if (res.statusCode === STATUS_GONE && expectedStatus !== STATUS_GONE) {
      return fail(OFFSET_GONE_CODE, text);
    }
    if (res.statusCode !== expectedStatus) {
      return fail("LAGOON_LOG_REFUSED", `status ${res.statusCode}: ${text}`);
    }
    const parsed = v.safeParse(request.schema, JSON.parse(text));
    return parsed.success
      ? ok(parsed.output)
      : fail("LAGOON_LOG_REPLY_MALFORMED", parsed.issues[0].message);
  } catch (cause) {
    return fail("LAGOON_LOG_UNREACHABLE", String(cause));
  }
}
