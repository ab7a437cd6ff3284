/**
 * Extracts the part of an answer that is recorded, so that a resend of the call
 * gets the same answer.
 * @module
 */
import {
  MAX_OUTCOME_BODY_BYTES,
  MAX_OUTCOME_HEADER_BYTES,
  type RunOutcome,
} from "./messages.ts";

/** Options of `outcomeOfAnswer`. */
export interface OutcomeOfAnswerOptions {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  /** Complete body, undefined when it was too large to buffer. */
  readonly body: Uint8Array | undefined;
}

/**
 * Returns an outcome with the status, the headers up to
 * `MAX_OUTCOME_HEADER_BYTES`, and the body if it is small enough to keep.
 */
export function outcomeOfAnswer(opts: OutcomeOfAnswerOptions): RunOutcome {
  const headers = boundHeaders(opts.headers);
  const { status, body } = opts;
  if (body === undefined || body.length > MAX_OUTCOME_BODY_BYTES) {
    return { type: "answered", status, headers };
  }
  const text = Buffer.from(body).toString("base64");
  return { type: "answered", status, headers, body: text };
}

function boundHeaders(
  headers: OutcomeOfAnswerOptions["headers"],
): Record<string, string> {
  const kept: Record<string, string> = {};
  let bytes = 0;
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined) continue;
    const text = Array.isArray(value) ? value.join(", ") : value;
    bytes += name.length + text.length;
    if (bytes > MAX_OUTCOME_HEADER_BYTES) break;
    kept[name] = text;
  }
  return kept;
}
