/**
 * Computes the fingerprint of a request. A resend of the request has the same
 * fingerprint, so a request that crashes its upstreams is recognized.
 * @module
 */
import { createHash } from "node:crypto";
import type { Fingerprint } from "./messages.ts";

/** Header that carries the fingerprint of a call between nodes. */
export const FINGERPRINT_HEADER = "lagoon-fingerprint";

const FINGERPRINT_CHARS = 16;

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

/** Returns the fingerprint of a request: 96 bits of SHA-256 in base64url. */
export function fingerprintOf(opts: FingerprintOfOptions): Fingerprint {
  const { customer, service, method, path, content } = opts;
  const hash = createHash("sha256");
  for (const part of [customer, service, method, path, content]) {
    hash.update(`${part.length}:${part}`);
  }
  return hash.digest("base64url").slice(0, FINGERPRINT_CHARS);
}
