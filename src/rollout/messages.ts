/**
 * Messages between nodes about a rollout: evidence, holds and heartbeats.
 * @module
 */
import * as v from "valibot";

/**
 * Upper bounds of the latency buckets in milliseconds. One more bucket holds
 * all slower answers.
 */
export const LATENCY_EDGES_MS = [
  2,
  4,
  8,
  16,
  32,
  64,
  128,
  256,
  512,
  1024,
  2048,
  4096,
] as const;

/** The version that is rolled out, and the versions that it replaces. */
export const Side = { New: "new", Old: "old" } as const;
export type Side = typeof Side[keyof typeof Side];

/**
 * Calls of one side on one route. Counts from one source never decrease.
 */
export interface RouteCounts {
  readonly side: Side;
  readonly route: string;
  readonly calls: number;
  readonly failures: number;
  /** Calls without an answer past the limit that `countOverdue` applies. */
  readonly overdue: number;
  /**
   * Answers by latency bucket. The last bucket holds the answers above all
   * bounds in `LATENCY_EDGES_MS`.
   */
  readonly buckets: readonly number[];
}

/** Whose calls a report sums up: one node's or a failure domain's. */
export const ReportLevel = { Node: "node", Domain: "domain" } as const;
export type ReportLevel = typeof ReportLevel[keyof typeof ReportLevel];

/**
 * Sums since the source began. The newest report of a source replaces its
 * earlier ones, so lost, repeated and reordered reports cause no errors.
 */
export interface EvidenceReport {
  readonly rollout: string;
  readonly level: ReportLevel;
  /**
   * `<node id>/<boot id>/<level>/<number>`, where the number increases each time
   * that the process reports to another receiver.
   */
  readonly source: string;
  /** Increases by one with each report of a source. */
  readonly seq: number;
  readonly domain: string;
  /**
   * Node that the report is meant for: `<node id>/<boot id>` of a reader, or
   * `<node id>#<term>` of the lease holder.
   */
  readonly receiver: string;
  readonly counts: readonly RouteCounts[];
}

/** What a sequential test counts as bad. */
export const Measure = {
  Errors: "errors",
  Slowness: "slowness",
  Overdue: "overdue",
} as const;
export type Measure = typeof Measure[keyof typeof Measure];

/** A fault of the new version, with the counts that show it. */
export interface Finding {
  /** Name of the route, or `*` for all routes. */
  readonly route: string;
  readonly measure: Measure;
  /**
   * Calls of the new version since the counts were last reset. The lease holder
   * resets them at each step.
   */
  readonly calls: number;
  /** How many of `calls` failed, were slow or became overdue, by `measure`. */
  readonly bad: number;
  /** Calls of the old version, exponentially decayed. */
  readonly oldCalls: number;
  /** How many of `oldCalls` failed, were slow or became overdue. */
  readonly oldBad: number;
  /** Log-likelihood ratio of the fault. */
  readonly score: number;
}

export type RolloutMessage =
  | { readonly type: "rollout/evidence"; readonly report: EvidenceReport }
  /** Orders the receiver to stop sending calls to the version. */
  | {
    readonly type: "rollout/hold";
    readonly rollout: string;
    /** Node that detected the fault. */
    readonly origin: string;
    readonly reason: string;
  }
  /** Informs the lease holder that a failure domain holds the version. */
  | {
    readonly type: "rollout/held";
    readonly rollout: string;
    readonly origin: string;
    /** Set when a whole failure domain's evidence shows the fault. */
    readonly shown?: { readonly domain: string; readonly finding: Finding };
  }
  /** The lease holder ends a hold. */
  | {
    readonly type: "rollout/release";
    readonly rollout: string;
    /** Term of the lease. Receivers ignore the release of a deposed holder. */
    readonly term: number;
    /**
     * True if the origin of the fault is unknown. Calls then go to the version
     * for short periods before the hold ends.
     */
    readonly isProbed: boolean;
  }
  /** Heartbeat of the lease holder to readers. */
  | {
    readonly type: "rollout/leading";
    readonly rollout: string;
    readonly term: number;
  };

const MAX_COUNTS_PER_REPORT = 2_000;
const countSchema = v.pipe(v.number(), v.minValue(0));
const textSchema = v.pipe(v.string(), v.minLength(1), v.maxLength(1_024));
const reportSchema = v.strictObject({
  rollout: textSchema,
  level: v.picklist(Object.values(ReportLevel)),
  source: textSchema,
  seq: countSchema,
  domain: textSchema,
  receiver: textSchema,
  counts: v.pipe(
    v.array(v.strictObject({
      side: v.picklist(Object.values(Side)),
      route: textSchema,
      calls: countSchema,
      failures: countSchema,
      overdue: countSchema,
      buckets: v.pipe(
        v.array(countSchema),
        v.length(LATENCY_EDGES_MS.length + 1),
      ),
    })),
    v.maxLength(MAX_COUNTS_PER_REPORT),
  ),
});
const findingSchema = v.strictObject({
  route: textSchema,
  measure: v.picklist(Object.values(Measure)),
  calls: countSchema,
  bad: countSchema,
  oldCalls: countSchema,
  oldBad: countSchema,
  score: countSchema,
});
const literal = <T extends string>(name: T) => v.literal(`rollout/${name}`);

/** Validates a rollout message from a peer. */
export const rolloutSchema: v.GenericSchema<unknown, RolloutMessage> = v
  .variant("type", [
    v.strictObject({ type: literal("evidence"), report: reportSchema }),
    v.strictObject({
      type: literal("hold"),
      rollout: textSchema,
      origin: textSchema,
      reason: v.pipe(v.string(), v.maxLength(4_096)),
    }),
    v.strictObject({
      type: literal("held"),
      rollout: textSchema,
      origin: textSchema,
      shown: v.exactOptional(
        v.strictObject({ domain: textSchema, finding: findingSchema }),
      ),
    }),
    v.strictObject({
      type: literal("release"),
      rollout: textSchema,
      term: countSchema,
      isProbed: v.boolean(),
    }),
    v.strictObject({
      type: literal("leading"),
      rollout: textSchema,
      term: countSchema,
    }),
  ]);
