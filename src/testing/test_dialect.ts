/**
 * A dialect of calls for tests, with headers of its own.
 * @module
 */
import type { CallDialect } from "../sidecar/platform_port.ts";

const connectionHeaders = new Set(["connection", "content-length"]);

export const testDialect: CallDialect = {
  readCaller(headers) {
    const id = headers["call-id"];
    if (typeof id !== "string") return undefined;
    const waitMs = Number(headers["wait-ms"]);
    return { id, parentId: undefined, waitMs: waitMs > 0 ? waitMs : undefined };
  },
  sentHeaders(raw) {
    const sent: string[] = [];
    for (let index = 0; index + 1 < raw.length; index += 2) {
      const name = raw[index] ?? "";
      if (connectionHeaders.has(name.toLowerCase())) continue;
      sent.push(name, raw[index + 1] ?? "");
    }
    return sent;
  },
  endpointHeaders: (opts) => [...opts.headers, "instance", opts.instanceId],
  readAnswer(_status, headers) {
    const at = headers.findIndex((name) => name.toLowerCase() === "call-id");
    const isNotRun = headers.some((name) => name.toLowerCase() === "not-run");
    return {
      isNotRun,
      isWrongInstance: false,
      callId: at < 0 ? undefined : headers[at + 1],
    };
  },
  refusalHeaders: (callId, retryMs) => ({
    "call-id": callId,
    "retry-after": String(retryMs / 1_000),
  }),
};
