/**
 * Sends one call to the endpoint and reads its answer.
 * @module
 */
import { Readable } from "node:stream";
import type { Dispatcher } from "undici";
import type { MonotonicMs } from "../core/types.ts";
import type { AnswerHead, OfferedCall } from "../calls/state.ts";
import { exhausted } from "../core/exhausted.ts";
import { type Framing, isFramed } from "../core/is_framed.ts";
import type { CallDialect } from "../sidecar/platform_port.ts";
import type { EndpointPool } from "./create_endpoint_pool.ts";
import { type AnswerDefect, checkAnswer } from "./check_answer.ts";

/** Answers up to this size are read whole before any byte is passed on. */
const maxWholeBytes = 65_536;

/**
 * Longest answer, in bytes. An endpoint in trouble may send without end, and what
 * a slow caller has not read yet waits in memory.
 */
const maxAnswerBytes = 16 * 1024 * 1024;

/** Size of the parts that a long body is sent in, in bytes. */
const partBytes = 65_536;

/** Time for the rest of a refusal, in milliseconds. */
const refusalRestMs = 500;

/** How a run ends or goes on. One of the last four comes last. */
export type RunEvent =
  | {
    readonly type: "answered";
    readonly head: AnswerHead;
    readonly body: Buffer | undefined;
  }
  | { readonly type: "chunk"; readonly chunk: Buffer }
  | { readonly type: "ended" }
  | {
    readonly type: "not-run";
    readonly reason: string;
    /** False when no connection could be made. */
    readonly isReached: boolean;
    readonly isWrongInstance: boolean;
  }
  /** Its time was over before a connection was there. Nothing was sent. */
  | { readonly type: "expired" }
  | {
    readonly type: "failed";
    readonly reason: string;
    /** Answer that was not passed on. */
    readonly doubtful?: UntrustedAnswer;
  };

/** An answer that may not be the call's. */
export interface UntrustedAnswer {
  readonly status: number;
  readonly doubt: AnswerDefect;
}

/** Options of `runCall`. */
export interface RunCallOptions {
  readonly pool: EndpointPool;
  readonly dialect: CallDialect;
  readonly call: OfferedCall;
  readonly instanceId: string;
  readonly deadlineAt: MonotonicMs;
  readonly now: () => MonotonicMs;
  /** Whether the connection that is just ending was reset. */
  readonly isReset: () => boolean;
  readonly onEvent: (event: RunEvent) => void;
}

/** A run in flight. */
export interface RunningAttempt {
  send(chunk: Buffer): void;
  finish(): void;
  /** Closes the endpoint's connection, so that it stops working. */
  cancel(): void;
}

/** Starts a run. Events come later, never before it returns. */
export function runCall(opts: RunCallOptions): RunningAttempt {
  const { call, dialect } = opts;
  const feed = call.body === undefined
    ? new Readable({ read: () => {} })
    : undefined;
  let controller: Dispatcher.DispatchController | undefined;
  let isSent = false;
  let isOver = false;
  let head: AnswerHead | undefined;
  let isStreaming = false;
  let refusalRest: NodeJS.Timeout | undefined;
  const parts: Buffer[] = [];
  let size = 0;

  function emit(event: RunEvent) {
    if (isOver) return;
    isOver = event.type !== "chunk" &&
      !(event.type === "answered" && event.body === undefined);
    opts.onEvent(event);
  }

  function takeHead(status: number, headers: string[]) {
    const marks = dialect.readAnswer(status, headers);
    const verdict = checkAnswer({ status, marks, callId: call.id });
    switch (verdict.type) {
      case "answer":
        head = { status, headers };
        return;
      case "refusal":
        head = { status, headers };
        refusalRest = setTimeout(
          () => cut("the refusal has no end"),
          refusalRestMs,
        );
        return emit({
          type: "not-run",
          reason: `the endpoint refused it with ${status}`,
          isReached: true,
          isWrongInstance: marks.isWrongInstance,
        });
      case "doubt": {
        const { doubt } = verdict;
        const reason = `the endpoint's answer proves nothing: ${doubt}`;
        emit({ type: "failed", reason, doubtful: { status, doubt } });
        return cut(reason);
      }
      default:
        exhausted(verdict);
    }
  }

  function takeData(chunk: Buffer) {
    size += chunk.length;
    if (isOver && size > maxWholeBytes) return cut("the refusal is too long");
    if (head === undefined || isOver) return;
    if (size > maxAnswerBytes) {
      const reason = "the answer is too long";
      emit({ type: "failed", reason });
      return cut(reason);
    }
    if (isStreaming) return emit({ type: "chunk", chunk });
    parts.push(chunk);
    if (size <= maxWholeBytes) return;
    isStreaming = true;
    emit({ type: "answered", head, body: undefined });
    for (const part of parts.splice(0)) emit({ type: "chunk", chunk: part });
  }

  function cut(reason: string) {
    controller?.abort(new Error(reason));
  }

  function takeEnd() {
    clearTimeout(refusalRest);
    if (head === undefined) return;
    if (!isFramed(framingOf(head)) && opts.isReset()) {
      return emit({ type: "failed", reason: "the answer was reset" });
    }
    if (isStreaming) emit({ type: "ended" });
    else emit({ type: "answered", head, body: Buffer.concat(parts, size) });
  }

  function takeError(err: Error) {
    clearTimeout(refusalRest);
    if (isSent) return emit({ type: "failed", reason: err.message });
    emit({
      type: "not-run",
      reason: `no connection to the endpoint: ${err.message}`,
      isReached: false,
      isWrongInstance: false,
    });
  }

  try {
    opts.pool.dispatch({
      method: call.method as Dispatcher.HttpMethod,
      path: call.target,
      headers: headersOf(opts),
      body: feed ?? bodyOf(call.body),
    }, {
      onRequestStart(given) {
        controller = given;
        // Nothing is written yet. A node that can't keep up gets here long
        // after the start, when the connection is made in a later turn.
        if (opts.now() >= opts.deadlineAt) emit({ type: "expired" });
        if (isOver) given.abort(new Error("call withdrawn"));
        else isSent = true;
      },
      onResponseStart(given, status, headers) {
        takeHead(status, listOf(given.rawHeaders, headers));
      },
      onResponseData: (_given, chunk) => takeData(chunk),
      onResponseEnd: takeEnd,
      onResponseError: (_given, err) => takeError(err),
    }, call.id);
  } catch (err) {
    // The client refuses a malformed call before anything is sent.
    const reason = err instanceof Error ? err.message : String(err);
    queueMicrotask(() => takeError(new Error(reason)));
  }

  return {
    send: (chunk) => void feed?.push(chunk),
    finish: () => void feed?.push(null),
    cancel() {
      if (isOver) return;
      isOver = true;
      feed?.destroy();
      controller?.abort(new Error("call withdrawn"));
    },
  };
}

/**
 * A long body is sent in parts, so that the client knows whether the endpoint
 * has taken it when the answer comes, and ends the connection if not.
 */
function bodyOf(body: Buffer | undefined): Buffer | Readable | null {
  if (body === undefined || body.length === 0) return null;
  if (body.length <= partBytes) return body;
  const parts: Buffer[] = [];
  for (let at = 0; at < body.length; at += partBytes) {
    parts.push(body.subarray(at, at + partBytes));
  }
  return Readable.from(parts, { objectMode: false });
}

function headersOf(opts: RunCallOptions): string[] {
  const { call, dialect, instanceId } = opts;
  const headers = dialect.endpointHeaders({
    headers: call.headers,
    callId: call.id,
    callerService: call.callerService,
    instanceId,
    leftMs: opts.deadlineAt - opts.now(),
  });
  const bytes = call.body?.length ?? call.bodyBytes;
  if (bytes !== undefined && bytes > 0) {
    headers.push("content-length", String(bytes));
  }
  return headers;
}

function framingOf({ headers }: AnswerHead): Framing {
  const last = (wanted: string) =>
    headers.findLast((_, index) =>
      index % 2 === 1 && headers[index - 1]?.toLowerCase() === wanted
    );
  return {
    length: last("content-length"),
    coding: last("transfer-encoding"),
  };
}

/** Header names and values by turns, in the order of the wire. */
function listOf(raw: unknown, headers: object): string[] {
  if (Array.isArray(raw)) {
    return raw.map((one) =>
      Buffer.isBuffer(one) ? one.toString("latin1") : String(one)
    );
  }
  return Object.entries(headers).flatMap(([name, value]) =>
    [value].flat().flatMap((one) => [name, String(one)])
  );
}
