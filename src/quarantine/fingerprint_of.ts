/**
 * Computes the fingerprint of a request. A resend of the request has the same
 * fingerprint, so a request that crashes its upstreams is recognized.
 * @module
 */
import { createHash } from "node:crypto";
import type { OfferedCall } from "../calls/state.ts";
import { hashText } from "../core/hash_text.ts";
import type { Fingerprint } from "./messages.ts";

/** Header that carries the fingerprint of a call between nodes. */
export const FINGERPRINT_HEADER = "lagoon-fingerprint";

const FINGERPRINT_CHARS = 16;

const MARK_END = ".";
const MARK_RADIX = 36;

/** Options of `fingerprintOf`. */
export interface FingerprintOfOptions {
  readonly customer: string;
  readonly service: string;
  readonly method: string;
  /** Path with its query. */
  readonly path: string;
  /**
   * Digest of a small body. For a larger one the idempotency key, or empty
   * without a key.
   */
  readonly content: string;
}

/** What a request is recognized by when it comes again with another id. */
export type CheckedCall = Pick<
  OfferedCall,
  "callerService" | "service" | "method" | "target" | "body"
>;

/**
 * Returns the fingerprint of a call, or undefined if its body is not known
 * completely.
 */
export function fingerprintOfCall(call: CheckedCall): Fingerprint | undefined {
  const { callerService, service, method, target, body } = call;
  if (body === undefined) return undefined;
  const digest = fingerprintOf({
    customer: callerService,
    service,
    method,
    path: target,
    content: createHash("sha256").update(body).digest("base64url"),
  });
  return `${markOfTarget(target)}${MARK_END}${digest}`;
}

/**
 * Returns the part of a call's fingerprint that is cheap to compute. Calls with
 * other marks than a fingerprint's need not be digested.
 */
export function markOfTarget(target: string): string {
  return hashText(target).toString(MARK_RADIX);
}

export function markOfFingerprint(fingerprint: Fingerprint): string {
  return fingerprint.slice(0, Math.max(0, fingerprint.indexOf(MARK_END)));
}

/** Returns the fingerprint of a request: 96 bits of SHA-256 in base64url. */
export function fingerprintOf(opts: FingerprintOfOptions): Fingerprint {
  const { customer, service, method, path, content } = opts;
  const hash = createHash("sha256");
  for (const part of [customer, service, method, path, content]) {
    hash.update(`${part.length}:${part}`);
  }
  return hash.digest("base64url").slice(0, FINGERPRINT_CHARS);
}
