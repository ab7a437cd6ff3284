/**
 * Runs a call with an idempotency key after claiming the key, so that the
 * request runs at most once.
 * @module
 */
import type { ServerResponse } from "node:http";
import { hashParts } from "../idempotency/key_of_call.ts";
import type { CallEnd } from "../retry/messages.ts";
import { CUSTOMER_HEADER, IDEMPOTENCY_HEADER } from "../routing/headers.ts";
import { answerClaim } from "./answer_claim.ts";
import type { CallBody } from "./call_body.ts";
import type { CallRequest } from "./calls.ts";
import { captureAnswer } from "./capture_answer.ts";
import type { ClaimRequestDriver } from "./drive_claim_requests.ts";

/** Options of `runWithClaim`. */
export interface RunWithClaimOptions {
  readonly claimRequests: ClaimRequestDriver;
  readonly call: CallRequest;
  readonly res: ServerResponse;
  readonly run: (call: CallRequest) => Promise<CallEnd>;
}

/** Returns whether a call needs a claim before it may run. */
export function needsClaim(call: CallRequest): boolean {
  return !call.isRepeatable && call.headers[IDEMPOTENCY_HEADER] !== undefined;
}

/**
 * Runs the call if its claim wins, and resolves with the end of the run.
 * Otherwise answers the caller and resolves with undefined.
 */
export async function runWithClaim(
  opts: RunWithClaimOptions,
): Promise<CallEnd | undefined> {
  const { claimRequests, call, res } = opts;
  const claim = await claimRequests.claim({
    customer: String(call.headers[CUSTOMER_HEADER] ?? ""),
    service: call.service,
    idempotencyKey: String(call.headers[IDEMPOTENCY_HEADER]),
    method: call.method,
    path: call.path,
    body: contentOf(call.body, call),
    deadlineAt: call.deadlineAt,
  });
  if (claim.type !== "run") {
    answerClaim(claim, res);
    return undefined;
  }
  const capture = captureAnswer();
  const end = await opts.run({ ...call, capture });
  const isRun = end.type !== "not-run";
  claimRequests.settle(claim.attempt, isRun ? capture.outcome() : undefined);
  return end;
}

/** Uses only the length of a streamed body, which is never held in memory. */
function contentOf(body: CallBody, call: CallRequest): Uint8Array {
  switch (body.type) {
    case "none":
      return new Uint8Array();
    case "held":
      return body.bytes;
    case "streamed":
      return Buffer.from(String(call.headers["content-length"] ?? "unknown"));
  }
}

/**
 * Returns the part of the fingerprint that distinguishes a customer's requests
 * to the same path.
 */
export function contentDigest(call: {
  readonly body: CallBody;
  readonly headers: CallRequest["headers"];
}): string {
  const { body, headers } = call;
  if (body.type === "held") return hashParts([body.bytes]);
  return String(headers[IDEMPOTENCY_HEADER] ?? "");
}
