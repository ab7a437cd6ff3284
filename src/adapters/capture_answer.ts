/**
 * Keeps a bounded copy of an answer while it is forwarded to the caller.
 * @module
 */
import {
  MAX_OUTCOME_BODY_BYTES,
  type RunOutcome,
} from "../idempotency/messages.ts";
import { outcomeOfAnswer } from "../idempotency/outcome_of_answer.ts";
import type { SentHeaders } from "./calls.ts";

/** Receives each part of an answer from its relay. */
export interface AnswerCapture {
  head(status: number, headers: SentHeaders): void;
  data(chunk: Uint8Array): void;
  done(): void;
  /** Returns the complete answer, `unknown` until it has arrived completely. */
  outcome(): RunOutcome;
}

/** Creates a capture of one answer. */
export function captureAnswer(): AnswerCapture {
  let outcome: RunOutcome = { type: "unknown" };
  let status = 0;
  let headers: SentHeaders = {};
  let bytes = 0;
  const chunks: Uint8Array[] = [];
  return {
    head(code, sent) {
      status = code;
      headers = sent;
    },
    data(chunk) {
      bytes += chunk.length;
      if (bytes <= MAX_OUTCOME_BODY_BYTES) chunks.push(chunk);
      else chunks.length = 0;
    },
    done() {
      const isKept = bytes <= MAX_OUTCOME_BODY_BYTES;
      const body = isKept ? Buffer.concat(chunks) : undefined;
      outcome = outcomeOfAnswer({ status, headers, body });
    },
    outcome: () => outcome,
  };
}
