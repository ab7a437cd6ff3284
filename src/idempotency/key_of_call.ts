/**
 * Digests that identify a call with an idempotency key.
 * @module
 */
import { createHash } from "node:crypto";

const DIGEST_CHARS = 22;

/** Options of `keyOfCall`. */
export interface KeyOfCallOptions {
  readonly customer: string;
  readonly service: string;
  /** Value of the `idempotency-key` header. */
  readonly idempotencyKey: string;
  readonly method: string;
  /** Path with its query. */
  readonly path: string;
  /** Digest of the body, or the body itself when it is small. */
  readonly body: Uint8Array;
}

/**
 * Returns the key of the call in the `claims` stream and the digest of its
 * request.
 */
export function keyOfCall(
  opts: KeyOfCallOptions,
): { key: string; digest: string } {
  const { customer, service, idempotencyKey, method, path } = opts;
  return {
    key: hashParts([customer, service, idempotencyKey]),
    digest: hashParts([method, path, opts.body]),
  };
}

/**
 * Returns the first 22 base64url characters, at least 128 bits, of SHA-256 over
 * the parts with their lengths.
 */
export function hashParts(parts: readonly (string | Uint8Array)[]): string {
  const hash = createHash("sha256");
  for (const part of parts) hash.update(`${part.length}:`).update(part);
  return hash.digest("base64url").slice(0, DIGEST_CHARS);
}
