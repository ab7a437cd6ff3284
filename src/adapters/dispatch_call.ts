/**
 * Sends one call through a connection pool and forwards its answer.
 * @module
 */
import type { Dispatcher } from "undici";
import type Pool from "undici/lib/dispatcher/pool.js";
import type { CallBody } from "./call_body.ts";
import type { SentHeaders } from "./calls.ts";
import {
  type Attempt,
  createRelay,
  type CreateRelayOptions,
} from "./create_relay.ts";

/** Options of `dispatchCall`. */
export interface DispatchCallOptions
  extends Omit<CreateRelayOptions, "cancel" | "resume"> {
  readonly pool: Pool;
  readonly path: string;
  readonly headers: SentHeaders;
  readonly body: CallBody;
}

/** Starts an attempt. Its `end` never rejects. */
export function dispatchCall(opts: DispatchCallOptions): Attempt {
  let controller: Dispatcher.DispatchController | undefined;
  const relay = createRelay({
    ...opts,
    cancel: () => controller?.abort(new Error("call abandoned")),
    resume: () => controller?.resume(),
  });
  try {
    opts.pool.dispatch({
      path: opts.path,
      method: opts.method as Dispatcher.HttpMethod,
      headers: opts.headers,
      body: bodyOf(opts.body, relay.progressed),
    }, {
      onRequestStart(given) {
        controller = given;
        // The attempt was abandoned while it waited for a connection: nothing
        // has been sent.
        if (relay.isEnded()) return given.abort(new Error("call abandoned"));
        relay.sent();
      },
      onResponseStart: (_given, status, headers) => relay.head(status, headers),
      onResponseData(given, chunk) {
        if (!relay.data(chunk)) given.pause();
      },
      onResponseEnd: () => relay.done(),
      onResponseError: (_given, err) => relay.fail(err.message),
    });
  } catch (err) {
    // undici rejects a malformed request before anything is sent.
    relay.fail(String(err));
  }
  return relay;
}

function bodyOf(body: CallBody, onProgress: () => void) {
  switch (body.type) {
    case "none":
      return null;
    case "held":
      return body.bytes;
    case "streamed":
      return readStreamed(body, onProgress) as never;
  }
}

/**
 * Yields the body as the caller sends it. Keeps the caller's connection open
 * when the server stops reading.
 */
async function* readStreamed(
  body: Extract<CallBody, { type: "streamed" }>,
  onProgress: () => void,
) {
  body.isBegun = true;
  body.begin();
  for await (const chunk of body.req.iterator({ destroyOnReturn: false })) {
    onProgress();
    yield chunk;
  }
}
