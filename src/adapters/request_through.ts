/**
 * Sends one request through a pool without loading all of undici.
 * @module
 */
import type { Dispatcher } from "undici";
import request from "undici/lib/api/api-request.js";
import type Pool from "undici/lib/dispatcher/pool.js";

/** Resolves once the answer's headers are received. Rejects as undici does. */
export function requestThrough(
  pool: Pool,
  opts: Dispatcher.RequestOptions,
): Promise<Dispatcher.ResponseData> {
  return request.call(pool, opts);
}
