/**
 * Evidence of how versions answer, told to the holder of a rollout's lease.
 * @module
 */

/** Counts of answers of one version on one route since the last report. */
export interface RouteCounts {
  readonly service: string;
  readonly version: string;
  readonly route: string;
  readonly calls: number;
  readonly failures: number;
  /** Sum of latencies in milliseconds. */
  readonly latencyMs: number;
}

export type RolloutMessage = {
  readonly type: "rollout/evidence";
  readonly counts: readonly RouteCounts[];
};
