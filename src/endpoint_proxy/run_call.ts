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
import type { CallDialect, EndpointLoad } from "../sidecar/platform_port.ts";
import type { EndpointPool } from "./create_endpoint_pool.ts";
import { type AnswerDefect, checkAnswer } from "./check_answer.ts";

/**
 * Answers up to this size, in bytes, are read to their end before any byte is
 * forwarded. Longer ones are streamed.
 */
const INLINE_BYTES = 65_536;

/**
 * Maximum size of an answer, in bytes. A faulty endpoint may send without end,
 * and bytes that a slow caller has not read yet are held in memory.
 */
const MAX_ANSWER_BYTES = 16 * 1024 * 1024;

/** Size of the parts in which a long request body is sent, in bytes. */
const BODY_PART_BYTES = 65_536;

/** Maximum time from the head of a refusal to its end, in milliseconds. */
const REFUSAL_BODY_TIMEOUT_MS = 500;

/**
 * Progress and end of a run. The last event is "answered" with a body, "ended",
 * "not-run", "expired" or "failed".
 */
export type RunEvent =
  /** The head of an answer states the load of the endpoint. */
  | { readonly type: "load"; readonly load: EndpointLoad }
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
    /**
     * Whether the call was sent. False if no connection to the endpoint could
     * be opened, or if the HTTP client rejected the call as malformed.
     */
    readonly isReached: boolean;
    readonly isWrongInstance: boolean;
  }
  /** The deadline passed before the connection was open. Nothing was sent. */
  | { readonly type: "expired" }
  | {
    readonly type: "failed";
    readonly reason: string;
    /** Whether the endpoint closed the connection before a complete answer. */
    readonly isCut: boolean;
    /** Answer that was not forwarded because it can't be trusted. */
    readonly rejected?: UntrustedAnswer;
  };

/** An answer that may belong to another call, or that contradicts itself. */
export interface UntrustedAnswer {
  readonly status: number;
  readonly defect: AnswerDefect;
}

/** Options of `runCall`. */
export interface RunCallOptions {
  readonly pool: EndpointPool;
  readonly dialect: CallDialect;
  readonly call: OfferedCall;
  readonly instanceId: string;
  readonly deadlineAt: MonotonicMs;
  readonly now: () => MonotonicMs;
  /** Whether the connection whose end is being handled was reset. */
  readonly isReset: () => boolean;
  readonly onEvent: (event: RunEvent) => void;
}

/** A run in flight. */
export interface RunningAttempt {
  send(chunk: Buffer): void;
  finish(): void;
  /** Closes the connection, so that the endpoint stops the run. */
  cancel(): void;
}

/** Starts a run. No event is emitted before this function returns. */
export function runCall(opts: RunCallOptions): RunningAttempt {
  const { call, dialect } = opts;
  const bodyStream = call.body === undefined
    ? new Readable({ read: () => {} })
    : undefined;
  let controller: Dispatcher.DispatchController | undefined;
  let isSent = false;
  let isOver = false;
  let head: AnswerHead | undefined;
  let isStreaming = false;
  let refusalTimer: NodeJS.Timeout | undefined;
  const parts: Buffer[] = [];
  let size = 0;

  function emit(event: RunEvent) {
    if (isOver) return;
    isOver = event.type !== "load" && event.type !== "chunk" &&
      !(event.type === "answered" && event.body === undefined);
    opts.onEvent(event);
  }

  function handleHead(status: number, headers: string[]) {
    const marks = dialect.readAnswer(status, headers);
    const verdict = checkAnswer({ status, marks, callId: call.id });
    // An answer that may belong to another call may also be old.
    if (marks.load !== undefined && verdict.type !== "doubt") {
      emit({ type: "load", load: marks.load });
    }
    switch (verdict.type) {
      case "answer":
        head = { status, headers };
        return;
      case "refusal":
        head = { status, headers };
        refusalTimer = setTimeout(
          () => abort("the refusal has no end"),
          REFUSAL_BODY_TIMEOUT_MS,
        );
        return emit({
          type: "not-run",
          reason: `the endpoint refused it with ${status}`,
          isReached: true,
          isWrongInstance: marks.isWrongInstance,
        });
      case "doubt": {
        const { defect } = verdict;
        const reason = `the endpoint's answer proves nothing: ${defect}`;
        const rejected = { status, defect };
        emit({ type: "failed", reason, isCut: false, rejected });
        return abort(reason);
      }
      default:
        exhausted(verdict);
    }
  }

  function handleData(chunk: Buffer) {
    size += chunk.length;
    if (isOver && size > INLINE_BYTES) return abort("the refusal is too long");
    if (head === undefined || isOver) return;
    if (size > MAX_ANSWER_BYTES) {
      const reason = "the answer is too long";
      emit({ type: "failed", reason, isCut: false });
      return abort(reason);
    }
    if (isStreaming) return emit({ type: "chunk", chunk });
    parts.push(chunk);
    if (size <= INLINE_BYTES) return;
    isStreaming = true;
    emit({ type: "answered", head, body: undefined });
    for (const part of parts.splice(0)) emit({ type: "chunk", chunk: part });
  }

  function abort(reason: string) {
    controller?.abort(new Error(reason));
  }

  function handleEnd() {
    clearTimeout(refusalTimer);
    if (head === undefined) return;
    if (!isFramed(framingOf(head)) && opts.isReset()) {
      const reason = "the answer was reset";
      return emit({ type: "failed", reason, isCut: true });
    }
    if (isStreaming) emit({ type: "ended" });
    else emit({ type: "answered", head, body: Buffer.concat(parts, size) });
  }

  function handleError(err: Error) {
    clearTimeout(refusalTimer);
    if (isSent) {
      return emit({ type: "failed", reason: err.message, isCut: true });
    }
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
      body: bodyStream ?? bodyOf(call.body),
    }, {
      onRequestStart(requestController) {
        controller = requestController;
        // Nothing is written yet. On an overloaded node the connection is
        // opened in a later turn of the event loop, long after the start.
        if (opts.now() >= opts.deadlineAt) emit({ type: "expired" });
        if (isOver) requestController.abort(new Error("call withdrawn"));
        else isSent = true;
      },
      onResponseStart(responseController, status, headers) {
        handleHead(
          status,
          toHeaderList(responseController.rawHeaders, headers),
        );
      },
      onResponseData: (_controller, chunk) => handleData(chunk),
      onResponseEnd: handleEnd,
      onResponseError: (_controller, err) => handleError(err),
    }, call.id);
  } catch (err) {
    // The HTTP client throws on a malformed call before it sends anything.
    const reason = err instanceof Error ? err.message : String(err);
    queueMicrotask(() => handleError(new Error(reason)));
  }

  return {
    send: (chunk) => void bodyStream?.push(chunk),
    finish: () => void bodyStream?.push(null),
    cancel() {
      if (isOver) return;
      isOver = true;
      bodyStream?.destroy();
      controller?.abort(new Error("call withdrawn"));
    },
  };
}

/**
 * Splits a long body into parts. The HTTP client can then tell, when the answer
 * arrives, whether the endpoint has read the body, and closes the connection if
 * the endpoint has not.
 */
function bodyOf(body: Buffer | undefined): Buffer | Readable | null {
  if (body === undefined || body.length === 0) return null;
  if (body.length <= BODY_PART_BYTES) return body;
  const parts: Buffer[] = [];
  for (let at = 0; at < body.length; at += BODY_PART_BYTES) {
    parts.push(body.subarray(at, at + BODY_PART_BYTES));
  }
  return Readable.from(parts, { objectMode: false });
}

function headersOf(opts: RunCallOptions): string[] {
  const { call, dialect, instanceId } = opts;
  const headers = dialect.endpointHeaders({
    headers: call.headers,
    callId: call.id,
    callerService: call.callerService,
    accountName: call.account?.name,
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

/** Returns header names and values in turn, in the order received. */
export function toHeaderList(raw: unknown, headers: object): string[] {
  if (Array.isArray(raw)) {
    return raw.map((one) =>
      Buffer.isBuffer(one) ? one.toString("latin1") : String(one)
    );
  }
  return Object.entries(headers).flatMap(([name, value]) =>
    [value].flat().flatMap((one) => [name, String(one)])
  );
}
