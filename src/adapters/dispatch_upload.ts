/**
 * Sends a call with a large body to another node.
 *
 * The body is sent after `100 Continue`, which the home node (the node on the
 * endpoint's VM) sends once it has admitted the call. A refusal arrives before
 * any byte of the body was read, so the call can still be sent to another node.
 * undici's pool can't wait for `100 Continue`, so this uses `node:http`.
 * @module
 */
import { request } from "node:http";
import type { CallBody } from "./call_body.ts";
import type { SentHeaders } from "./calls.ts";
import {
  type Attempt,
  createRelay,
  type CreateRelayOptions,
} from "./create_relay.ts";

/** Options of `dispatchUpload`. */
export interface DispatchUploadOptions
  extends Omit<CreateRelayOptions, "cancel" | "resume"> {
  /** `host:port` of the node. */
  readonly to: string;
  readonly path: string;
  readonly headers: SentHeaders;
  readonly body: Extract<CallBody, { type: "streamed" }>;
}

/** Starts an attempt. Its `end` never rejects. */
export function dispatchUpload(opts: DispatchUploadOptions): Attempt {
  const { body } = opts;
  const split = opts.to.lastIndexOf(":");
  const out = request({
    host: opts.to.slice(0, split).replace(/^\[|\]$/g, ""),
    port: opts.to.slice(split + 1),
    method: opts.method,
    path: opts.path,
    headers: { ...opts.headers, expect: "100-continue" },
    agent: false,
  });
  const relay = createRelay({
    ...opts,
    cancel: () => out.destroy(),
    resume: () => answer?.resume(),
  });
  let answer: { resume(): void } | undefined;
  out.on("socket", (socket) => socket.setNoDelay(true));
  out.flushHeaders();
  out.on("continue", () => {
    relay.sent();
    body.isBegun = true;
    body.begin();
    body.req.on("data", relay.progressed);
    body.req.pipe(out);
  });
  out.on("response", (res) => {
    answer = res;
    relay.head(res.statusCode ?? 0, res.headers);
    res.on("data", (chunk) => {
      if (!relay.data(chunk)) res.pause();
    });
    res.on("end", () => {
      if (res.complete) relay.done();
      else relay.fail("the answer was cut");
      out.destroy();
    });
    res.on("error", (err) => relay.fail(err.message));
    res.on("close", () => relay.fail("the answer was cut"));
  });
  out.on("error", (err) => relay.fail(err.message));
  out.on("close", () => relay.fail("the connection closed"));
  return relay;
}
