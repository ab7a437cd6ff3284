/**
 * Sends one request through a pool, without the rest of undici.
 * @module
 */
import type { Dispatcher } from "undici";
import request from "undici/lib/api/api-request.js";
import type Pool from "undici/lib/dispatcher/pool.js";

/** Resolves with the head of the answer. Rejects as undici does. */
export function requestThrough(
  pool: Pool,
  opts: Dispatcher.RequestOptions,
): Promise<Dispatcher.ResponseData> {
  return request.call(pool, opts);
}
