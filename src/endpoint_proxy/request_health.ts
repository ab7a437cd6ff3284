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

/** What an endpoint answers to a health request. */
export interface HealthAnswer {
  readonly status: number;
  /** Whether the endpoint rejected the request as it rejects calls. */
  readonly isRejected: boolean;
  /** Remaining time of the cold start, in milliseconds, if it is stated. */
  readonly coldMs: number | undefined;
}

/** Resolves when the head of the answer has arrived. */
export function requestHealth(
  opts: RequestHealthOptions,
): Promise<Result<HealthAnswer, LagoonError>> {
  return new Promise((resolve) => {
    let abort = () => {};
    let bytes = 0;
    const finish = (result: Result<HealthAnswer, LagoonError>) => {
      clearTimeout(timer);
      resolve(result);
    };
    const fail = (message: string) =>
      finish(err(healthError(opts.address, message)));
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
          const { coldMs, isNotRun } = opts.dialect.readAnswer(status, list);
          finish(ok({ status, isRejected: isNotRun, coldMs }));
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

/** Returns the remaining cold start that an answer states, in milliseconds. */
export function requireColdMs(
  { status, coldMs }: HealthAnswer,
  address: string,
): Result<number, LagoonError> {
  const message = `the answer with status ${status} states no cold start`;
  return coldMs === undefined ? err(healthError(address, message)) : ok(coldMs);
}

function healthError(address: string, message: string): LagoonError {
  return {
    code: "LAGOON_HEALTH_REQUEST_FAILED",
    step: "request the health path",
    peer: address,
    message,
    hint: "What the pings of the endpoint state holds on.",
  };
}
