/**
 * A `CallDialect` for tests, whose headers differ from the platform's.
 * @module
 */
import type { CallDialect } from "../sidecar/platform_port.ts";

const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);
const CONNECTION_HEADERS = new Set(["connection", "content-length"]);

export const testDialect: CallDialect = {
  readCaller(headers) {
    const id = headers["call-id"];
    if (typeof id !== "string") return undefined;
    const waitMs = Number(headers["wait-ms"]);
    const { key } = headers;
    return {
      id,
      parentId: undefined,
      waitMs: waitMs > 0 ? waitMs : undefined,
      key: typeof key === "string" ? { type: "one", key } : { type: "none" },
    };
  },
  sentHeaders(raw) {
    const sent: string[] = [];
    for (let index = 0; index + 1 < raw.length; index += 2) {
      const name = raw[index] ?? "";
      if (CONNECTION_HEADERS.has(name.toLowerCase())) continue;
      sent.push(name, raw[index + 1] ?? "");
    }
    return sent;
  },
  endpointHeaders: (opts) => [...opts.headers, "instance", opts.instanceId],
  readAnswer(status, headers) {
    const ids = new Set(
      headers.filter((_, index) =>
        headers[index - 1]?.toLowerCase() === "call-id"
      ),
    );
    const [first] = ids;
    const coldAt = headers.indexOf("cold-ms");
    const isNotRun = headers.some((name) => name.toLowerCase() === "not-run");
    const paceAt = headers.indexOf("pace-percent");
    const pacePercent = Number(headers[paceAt + 1]);
    const unknown = { running: undefined, waiting: undefined };
    return {
      isNotRun,
      readsAsNotRun: NOT_RUN_STATUSES.has(status),
      isWrongInstance: false,
      callId: ids.size === 1 ? first : undefined,
      coldMs: coldAt < 0 ? undefined : Number(headers[coldAt + 1]),
      load: paceAt < 0
        ? undefined
        : { ...unknown, slots: undefined, pacePercent },
    };
  },
  refusalHeaders: (callId, retryMs) => ({
    "call-id": callId,
    "retry-after": String(retryMs / 1_000),
  }),
};
