/**
 * Requests the health path of the endpoint once.
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import type { LagoonError } from "../core/errors.ts";
import type { CallDialect } from "../sidecar/platform_port.ts";
import type { EndpointPool } from "./create_endpoint_pool.ts";
import { toHeaderList } from "./run_call.ts";

/** Time limit of a health request, in milliseconds. */
const HEALTH_TIMEOUT_MS = 1_000;

/** Maximum size of the body of a health answer, in bytes. */
const MAX_HEALTH_BYTES = 65_536;

/** Options of `requestHealth`. */
export interface RequestHealthOptions {
  readonly pool: EndpointPool;
  readonly dialect: Pick<CallDialect, "readAnswer">;
  readonly path: string;
  /** Address of the endpoint, for errors. */
  readonly address: string;
  /** Differs from the ids of all calls and other health requests. */
  readonly id: string;
}

/**
 * Resolves with the remaining time of the cold start that the answer states, in
 * milliseconds.
 */
export function requestHealth(
  opts: RequestHealthOptions,
): Promise<Result<number, LagoonError>> {
  return new Promise((resolve) => {
    let abort = () => {};
    let bytes = 0;
    const finish = (result: Result<number, LagoonError>) => {
      clearTimeout(timer);
      resolve(result);
    };
    const fail = (message: string) => finish(err(healthError(opts, message)));
    const timer = setTimeout(() => {
      fail(`no answer within ${HEALTH_TIMEOUT_MS} ms`);
      abort();
    }, HEALTH_TIMEOUT_MS);
    const request = { method: "GET", path: opts.path } as const;
    try {
      opts.pool.dispatch(request, {
        onRequestStart(controller) {
          abort = () => controller.abort(new Error("health request ended"));
        },
        onResponseStart(controller, status, headers) {
          const list = toHeaderList(controller.rawHeaders, headers);
          const { coldMs } = opts.dialect.readAnswer(status, list);
          if (coldMs !== undefined) return finish(ok(coldMs));
          fail(`the answer with status ${status} states no cold start`);
        },
        onResponseData(_controller, chunk) {
          bytes += chunk.length;
          if (bytes > MAX_HEALTH_BYTES) abort();
        },
        onResponseEnd() {},
        onResponseError: (_controller, cause) => fail(cause.message),
      }, opts.id);
    } catch (cause) {
      // The HTTP client throws on a malformed path.
      fail(cause instanceof Error ? cause.message : String(cause));
    }
  });
}

function healthError(
  { address }: RequestHealthOptions,
  message: string,
): LagoonError {
  return {
    code: "LAGOON_HEALTH_REQUEST_FAILED",
    step: "request the health path",
    peer: address,
    message,
    hint: "Starts stay limited until a ping states that the endpoint is warm.",
  };
}
