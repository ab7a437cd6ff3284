/**
 * Relays one answer to one caller and says how the attempt ended.
 *
 * Nothing reaches the caller after the end: what an abandoned attempt still
 * brings is dropped, and a broken answer destroys the caller's connection.
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

const maxReasonBytes = 512;
const noContent = 204;
const notModified = 304;

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
  /** Whether the far side is a node, whose refusals are believed. */
  readonly isPeer: boolean;
  /** Headers added to the answer. */
  readonly extra: () => SentHeaders;
  /** Copies the answer, and keeps the attempt when the caller leaves. */
  readonly capture?: AnswerCapture;
  /** Time until the attempt is overdue, in milliseconds. */
  readonly overdueMs?: number;
  readonly onOverdue?: () => void;
  /** Closes the far side's connection at once. */
  readonly cancel: () => void;
  /** Lets the far side send on after the caller's buffer was full. */
  readonly resume: () => void;
}

/** What the client of the far side tells. */
export interface Relay extends Attempt {
  readonly isEnded: () => boolean;
  /** The request is on the wire: it may run from here on. */
  sent(): void;
  moved(): void;
  head(status: number, headers: IncomingHttpHeaders): void;
  /** False when the far side has to wait. */
  data(chunk: Buffer): boolean;
  done(): void;
  fail(reason: string): void;
}

/** Creates the relay of one attempt. */
export function createRelay(opts: CreateRelayOptions): Relay {
  const { res, watch, capture } = opts;
  let hasLeft = false;
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
    onLate: () => stop("The deadline passed", true),
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
      // The caller must see that its answer is not whole.
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
    hasLeft = true;
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
    moved: () => watched.progressAt = performance.now(),
    head(code, headers) {
      if (isEnded || code < 200) return;
      watched.progressAt = performance.now();
      status = code;
      if (opts.isPeer) load = Number(headers[LOAD_HEADER] ?? 0) || 0;
      if (opts.isPeer && headers[NOT_RUN_HEADER] === "true") {
        refusal = { status, code: String(headers[REASON_HEADER]), text: "" };
        return;
      }
      // Only the node itself sets it: it strips what its upstream sends.
      if (opts.isPeer && headers[REASON_HEADER] !== undefined) {
        const isLate = headers[REASON_HEADER] === "LAGOON_CALL_LATE";
        return stop("The home lost the call after dispatch", isLate);
      }
      if (!canTellCut(opts.method, code, headers)) {
        return stop("The answer has no length", false);
      }
      hasHead = true;
      const sent = sendableHeaders(headers, opts.extra());
      capture?.head(code, sent);
      if (!hasLeft) res.writeHead(code, sent);
    },
    data(chunk) {
      if (isEnded) return true;
      watched.progressAt = performance.now();
      if (refusal !== undefined) {
        if (refusal.text.length < maxReasonBytes) refusal.text += chunk;
        return true;
      }
      capture?.data(chunk);
      if (hasLeft || res.write(chunk)) return true;
      // A slow reader is no fault of the far side.
      watched.progressAt = Infinity;
      res.once("drain", onDrain);
      return false;
    },
    done() {
      if (isEnded) return;
      if (refusal !== undefined) {
        const { status, code, text } = refusal;
        const reason = text.slice(0, maxReasonBytes).trim();
        return finish({
          type: "not-run",
          code: code as `LAGOON_${string}`,
          reason: reason.replace(`${code}: `, "").replace(/\.$/, ""),
          status,
        });
      }
      if (!hasHead) return stop("The answer has no head", false);
      capture?.done();
      // The end is known before the caller's socket has taken it all.
      if (!hasLeft) res.end();
      finish({ type: "answered", status, load });
    },
    fail(reason) {
      if (!isEnded) finishBroken(reason, false);
    },
  };
}

/** Whether a cut of the answer can be told from its end. */
function canTellCut(
  method: string,
  status: number,
  headers: IncomingHttpHeaders,
): boolean {
  if (method === "HEAD" || status === noContent || status === notModified) {
    return true;
  }
  return isFramed({
    length: headers["content-length"],
    coding: headers["transfer-encoding"],
  });
}
