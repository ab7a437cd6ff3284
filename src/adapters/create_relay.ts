/**
 * Forwards the answer of an attempt to the caller and reports how the attempt
 * ended.
 *
 * Nothing is written to the caller after the end: data that arrives for an
 * abandoned attempt is dropped, and a truncated answer destroys the caller's
 * connection.
 * @module
 */
import type { IncomingHttpHeaders, ServerResponse } from "node:http";
import type { MonotonicMs } from "../core/types.ts";
import { abortAnswer } from "../core/abort_answer.ts";
import { isFramed } from "../core/is_framed.ts";
import type { CallEnd } from "../retry/messages.ts";
import {
  LOAD_HEADER,
  NOT_RUN_HEADER,
  REASON_HEADER,
} from "../routing/headers.ts";
import { sendableHeaders, type SentHeaders } from "./calls.ts";
import type { AnswerCapture } from "./capture_answer.ts";
import type { CallWatch, Watched } from "./call_watch.ts";

/** Limit on the length of a peer's refusal text that is kept. */
const MAX_REASON_CHARS = 512;
const NO_CONTENT = 204;
const NOT_MODIFIED = 304;

/** An attempt in flight. */
export interface Attempt {
  readonly end: Promise<CallEnd>;
  /** Abandons the attempt, unless its answer has begun. */
  giveUp(): void;
}

/** Options of `createRelay`. */
export interface CreateRelayOptions {
  readonly res: ServerResponse;
  readonly watch: CallWatch;
  readonly method: string;
  readonly deadlineAt: MonotonicMs;
  /** Whether the server is a node. Only nodes' refusal headers are trusted. */
  readonly isPeer: boolean;
  /** Headers added to the answer. */
  readonly extra: () => SentHeaders;
  /**
   * Copies the answer. With a capture, the attempt continues when the caller
   * disconnects.
   */
  readonly capture?: AnswerCapture;
  /** Time until the attempt is overdue, in milliseconds. */
  readonly overdueMs?: number;
  readonly onOverdue?: () => void;
  /** Closes the connection to the server immediately. */
  readonly cancel: () => void;
  /** Resumes reading from the server after the caller's buffer was full. */
  readonly resume: () => void;
}

/** Receives the events of the HTTP client that runs the attempt. */
export interface Relay extends Attempt {
  readonly isEnded: () => boolean;
  /** Called when the request is being sent: the call may run from now on. */
  sent(): void;
  /** Called when a part of the request body was sent. */
  progressed(): void;
  head(status: number, headers: IncomingHttpHeaders): void;
  /** False when the client has to stop reading until `resume`. */
  data(chunk: Buffer): boolean;
  done(): void;
  fail(reason: string): void;
}

/** Creates the relay of an attempt. */
export function createRelay(opts: CreateRelayOptions): Relay {
  const { res, watch, capture } = opts;
  let hasCallerLeft = false;
  let isSent = false;
  let hasHead = false;
  let refusal: { status: number; code: string; text: string } | undefined;
  let status = 0;
  let load = 0;
  let settle: (end: CallEnd) => void = () => {};
  let isEnded = false;
  const end = new Promise<CallEnd>((resolve) => settle = resolve);
  const startedAt = performance.now();
  const watched: Watched = {
    deadlineAt: opts.deadlineAt,
    progressAt: startedAt,
    overdueAt: startedAt + (opts.overdueMs ?? Infinity),
    onDeadline: () => stop("The deadline passed", true),
    onStalled: () => stop("The answer stalled", false),
    onOverdue: () => {
      if (!hasHead) opts.onOverdue?.();
    },
  };

  function finish(how: CallEnd) {
    if (isEnded) return;
    isEnded = true;
    watch.delete(watched);
    res.off("close", onClose);
    res.off("drain", onDrain);
    settle(how);
  }

  function stop(reason: string, isLate: boolean) {
    if (isEnded) return;
    finishBroken(reason, isLate);
    opts.cancel();
  }

  function finishBroken(reason: string, isLate: boolean) {
    if (hasHead) {
      // The caller must be able to see that its answer is truncated.
      abortAnswer(res);
      return finish({ type: "cut", reason });
    }
    if (isSent) return finish({ type: "unknown", reason, isLate });
    finish({
      type: "not-run",
      code: isLate ? "LAGOON_CALL_DEADLINE" : "LAGOON_CALL_UNREACHABLE",
      reason,
      status: 503,
    });
  }

  function onClose() {
    if (isEnded) return;
    hasCallerLeft = true;
    if (capture !== undefined) return opts.resume();
    finish({ type: "cancelled" });
    opts.cancel();
  }

  function onDrain() {
    watched.progressAt = performance.now();
    opts.resume();
  }

  res.on("close", onClose);
  watch.add(watched);
  if (res.destroyed) queueMicrotask(onClose);

  return {
    end,
    isEnded: () => isEnded,
    giveUp() {
      if (isEnded || hasHead) return;
      finish({ type: "given-up" });
      opts.cancel();
    },
    sent: () => isSent = true,
    progressed: () => watched.progressAt = performance.now(),
    head(code, headers) {
      if (isEnded || code < 200) return;
      watched.progressAt = performance.now();
      status = code;
      if (opts.isPeer) load = Number(headers[LOAD_HEADER] ?? 0) || 0;
      if (opts.isPeer && headers[NOT_RUN_HEADER] === "true") {
        refusal = { status, code: String(headers[REASON_HEADER]), text: "" };
        return;
      }
      // The header comes from the peer node, which strips this header from an
      // upstream's answer.
      if (opts.isPeer && headers[REASON_HEADER] !== undefined) {
        const isLate = headers[REASON_HEADER] === "LAGOON_CALL_LATE";
        return stop("The home lost the call after dispatch", isLate);
      }
      if (!canDetectTruncation(opts.method, code, headers)) {
        return stop("The answer has no length", false);
      }
      hasHead = true;
      const sent = sendableHeaders(headers, opts.extra());
      capture?.head(code, sent);
      if (!hasCallerLeft) res.writeHead(code, sent);
    },
    data(chunk) {
      if (isEnded) return true;
      watched.progressAt = performance.now();
      if (refusal !== undefined) {
        if (refusal.text.length < MAX_REASON_CHARS) refusal.text += chunk;
        return true;
      }
      capture?.data(chunk);
      if (hasCallerLeft || res.write(chunk)) return true;
      // While the caller reads slowly, the server is not considered stalled.
      watched.progressAt = Infinity;
      res.once("drain", onDrain);
      return false;
    },
    done() {
      if (isEnded) return;
      if (refusal !== undefined) {
        const { status, code, text } = refusal;
        const reason = text.slice(0, MAX_REASON_CHARS).trim();
        return finish({
          type: "not-run",
          code: code as `LAGOON_${string}`,
          reason: reason.replace(`${code}: `, "").replace(/\.$/, ""),
          status,
        });
      }
      if (!hasHead) return stop("The answer has no head", false);
      capture?.done();
      // The attempt ends before the caller's socket has taken all bytes.
      if (!hasCallerLeft) res.end();
      finish({ type: "answered", status, load });
    },
    fail(reason) {
      if (!isEnded) finishBroken(reason, false);
    },
  };
}

/** Returns whether a truncated answer can be told apart from a complete one. */
function canDetectTruncation(
  method: string,
  status: number,
  headers: IncomingHttpHeaders,
): boolean {
  if (method === "HEAD" || status === NO_CONTENT || status === NOT_MODIFIED) {
    return true;
  }
  return isFramed({
    length: headers["content-length"],
    coding: headers["transfer-encoding"],
  });
}
