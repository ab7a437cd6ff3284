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
  /** Answers by latency; one bucket more than `LATENCY_EDGES_MS` has bounds. */
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
  /** Unique per process start and per receiver that the process chose. */
  readonly source: string;
  /** Increases by one with each report of a source. */
  readonly seq: number;
  readonly domain: string;
  /** The reader's process start, or the holder's term, that it is meant for. */
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
  readonly calls: number;
  readonly bad: number;
  readonly oldCalls: number;
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
    /** True when the fault was neither confirmed nor attributed elsewhere. */
    readonly isProbed: boolean;
  }
  /** Heartbeat of the lease holder to readers. */
  | {
    readonly type: "rollout/leading";
    readonly rollout: string;
    readonly term: number;
  };

const MAX_COUNTS_PER_REPORT = 2_000;
const count = v.pipe(v.number(), v.minValue(0));
const text = v.pipe(v.string(), v.minLength(1), v.maxLength(1_024));
const report = v.strictObject({
  rollout: text,
  level: v.picklist(Object.values(ReportLevel)),
  source: text,
  seq: count,
  domain: text,
  receiver: text,
  counts: v.pipe(
    v.array(v.strictObject({
      side: v.picklist(Object.values(Side)),
      route: text,
      calls: count,
      failures: count,
      overdue: count,
      buckets: v.pipe(v.array(count), v.length(LATENCY_EDGES_MS.length + 1)),
    })),
    v.maxLength(MAX_COUNTS_PER_REPORT),
  ),
});
const finding = v.strictObject({
  route: text,
  measure: v.picklist(Object.values(Measure)),
  calls: count,
  bad: count,
  oldCalls: count,
  oldBad: count,
  score: count,
});
const literal = <T extends string>(name: T) => v.literal(`rollout/${name}`);

/** Validates a rollout message from a peer. */
export const rolloutSchema: v.GenericSchema<unknown, RolloutMessage> = v
  .variant("type", [
    v.strictObject({ type: literal("evidence"), report }),
    v.strictObject({
      type: literal("hold"),
      rollout: text,
      origin: text,
      reason: v.pipe(v.string(), v.maxLength(4_096)),
    }),
    v.strictObject({
      type: literal("held"),
      rollout: text,
      origin: text,
      shown: v.exactOptional(v.strictObject({ domain: text, finding })),
    }),
    v.strictObject({
      type: literal("release"),
      rollout: text,
      term: count,
      isProbed: v.boolean(),
    }),
    v.strictObject({ type: literal("leading"), rollout: text, term: count }),
  ]);
