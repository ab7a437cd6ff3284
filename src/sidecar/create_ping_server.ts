/**
 * The HTTP server for the endpoint's pings and for readiness checks.
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import polka from "polka";
import type { PingCall } from "./platform_port.ts";
import type { InstanceWatch } from "./watch_instance.ts";

/** Limit on the size of a ping. */
const MAX_PING_BYTES = 16_384;

/** Options of `createPingServer`. */
export interface CreatePingServerOptions {
  readonly match: (method: string, path: string) => PingCall;
  readonly isReady: () => boolean;
  readonly onPing: InstanceWatch["ping"];
  readonly onLeave: InstanceWatch["leave"];
}

/** Creates the server. The caller of this function makes it listen. */
export function createPingServer(opts: CreatePingServerOptions) {
  function handleRequest(req: IncomingMessage, res: ServerResponse) {
    const path = (req.url ?? "/").split("?")[0] ?? "/";
    const call = opts.match(req.method ?? "GET", path);
    switch (call.type) {
      case "ready":
        return answer(res, opts.isReady() ? 200 : 503);
      case "leave":
        req.resume();
        return void opts.onLeave(call.id).then(() => answer(res, 200));
      case "ping":
        return readPing(req, res, call.id);
      case "unknown":
        req.resume();
        return answer(res, 404);
    }
  }

  function readPing(req: IncomingMessage, res: ServerResponse, id: string) {
    const parts: Buffer[] = [];
    let size = 0;
    req.on("data", (part: Buffer) => {
      size += part.length;
      if (size <= MAX_PING_BYTES) parts.push(part);
    });
    req.on("end", () => {
      if (size > MAX_PING_BYTES) return answer(res, 413);
      const result = opts.onPing(id, Buffer.concat(parts));
      if (result.type === "refused") return answer(res, 400);
      void result.recorded.then(() => answer(res, 200));
    });
  }

  return polka().use((req, res) => {
    handleRequest(req as IncomingMessage, res as ServerResponse);
  });
}

function answer(res: ServerResponse, status: number) {
  res.writeHead(status, {
    "content-type": "application/json",
    "content-length": "2",
  });
  res.end("{}");
}
