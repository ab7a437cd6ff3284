/**
 * Traffic and calls of a node since its start, reported as metrics.
 * @module
 */
import type { CallTotals } from "./call_totals.ts";
import type { LogTotals } from "./log_client.ts";
import { MetricName, type Metrics } from "./metrics.ts";
import type { LinkTotals } from "./peer_links.ts";

/** Counts since the start. Bytes are payload bytes without TCP and IP. */
export interface NodeUsage {
  /** Control traffic with other nodes. */
  readonly peers: Readonly<LinkTotals>;
  /** Traffic with the platform's log. */
  readonly log: Readonly<LogTotals>;
  readonly calls: Readonly<CallTotals>;
}

const REPORT_INTERVAL_MS = 10_000;

const CALL_OUTCOMES = [
  "answered",
  "claimed",
  "notRun",
  "broken",
  "cancelled",
] as const satisfies readonly (keyof CallTotals)[];

/** Options of `reportUsage`. */
export interface ReportUsageOptions {
  readonly metrics: Metrics;
  readonly usage: () => NodeUsage;
}

/** Sends the growth of the counts as metrics until `close` is called. */
export function reportUsage(opts: ReportUsageOptions): { close(): void } {
  const { metrics } = opts;
  const before = new Map<string, number>();
  const growthOf = (key: string, value: number) => {
    const grown = value - (before.get(key) ?? 0);
    before.set(key, value);
    return grown;
  };
  const report = () => {
    const { peers, log, calls } = opts.usage();
    const sent = growthOf("sent", peers.sentBytes + log.sentBytes);
    const received = growthOf(
      "received",
      peers.receivedBytes + log.receivedBytes,
    );
    metrics.count(MetricName.ControlBytes, sent, { direction: "sent" });
    metrics.count(MetricName.ControlBytes, received, { direction: "received" });
    for (const outcome of CALL_OUTCOMES) {
      const grown = growthOf(outcome, calls[outcome]);
      metrics.count(MetricName.Calls, grown, { outcome });
    }
  };
  const timer = setInterval(report, REPORT_INTERVAL_MS);
  return { close: () => clearInterval(timer) };
}
