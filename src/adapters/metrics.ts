/**
 * The metrics interface and the names of all metrics.
 * @module
 */

/** Metrics of a node. Each name has the prefix `lagoon.` on the wire. */
export const MetricName = {
  /** Counter: records folded, by `kind` of verdict. */
  Verdicts: "verdicts",
  /** Gauge: version in force on the node. */
  Applied: "applied_version",
  /** Gauge: records that wait to be appended or for their verdict. */
  Waiting: "appends_waiting",
  /**
   * Counter: control bytes to and from other nodes and the log, by `direction`.
   */
  ControlBytes: "control_bytes",
  /** Counter: calls, by `outcome`. */
  Calls: "calls",
} as const;
export type MetricName = typeof MetricName[keyof typeof MetricName];

export type MetricTags = Readonly<Record<string, string>>;

/** Never fails and never blocks: metrics may be lost. */
export interface Metrics {
  count(name: MetricName, amount: number, tags?: MetricTags): void;
  gauge(name: MetricName, value: number): void;
  close(): Promise<void>;
}

/** Metrics that are discarded. */
export const NOOP_METRICS: Metrics = {
  count: () => {},
  gauge: () => {},
  close: () => Promise.resolve(),
};
