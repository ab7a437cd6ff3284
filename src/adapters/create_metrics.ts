/**
 * Sends metrics to a StatsD server, when the settings name one.
 * @module
 */
import createDebug from "debug";
import { type Metrics, NOOP_METRICS } from "./metrics.ts";

const log = createDebug("lagoon:metrics");

/** Maximum length of one datagram, below the usual MTU. */
const MAX_DATAGRAM_CHARS = 1_400;

const FLUSH_INTERVAL_MS = 1_000;

/** Options of `createMetrics`. */
export interface CreateMetricsOptions {
  /** `host:port` of the StatsD server. Without it metrics are discarded. */
  readonly address?: string | undefined;
  readonly domain: string;
  readonly node: string;
}

/** Creates the metrics. The StatsD library is loaded only if it is used. */
export async function createMetrics(
  opts: CreateMetricsOptions,
): Promise<Metrics> {
  const { address, domain, node } = opts;
  if (address === undefined) return NOOP_METRICS;
  const { StatsD } = await import("hot-shots");
  const split = address.lastIndexOf(":");
  const client = new StatsD({
    host: address.slice(0, split).replace(/^\[|\]$/g, ""),
    port: Number(address.slice(split + 1)),
    prefix: "lagoon.",
    globalTags: { domain, node },
    maxBufferSize: MAX_DATAGRAM_CHARS,
    bufferFlushInterval: FLUSH_INTERVAL_MS,
    errorHandler: (err) => log("Sending metrics failed: %s.", err.message),
  });
  return {
    count: (name, amount, tags = {}) => client.increment(name, amount, tags),
    gauge: (name, value) => client.gauge(name, value),
    close: () => new Promise((resolve) => client.close(() => resolve())),
  };
}
