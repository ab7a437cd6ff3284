/**
 * Evidence on versions, holds and signs of life, sent between nodes.
 * @module
 */
import * as v from "valibot";

/** Upper bounds of the latency buckets in milliseconds; one more is open. */
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

/** The version that is rolled out, and those that it replaces. */
export const Side = { New: "new", Old: "old" } as const;
export type Side = typeof Side[keyof typeof Side];

/** Counts of one side on one route. They only grow within one source. */
export interface RouteCounts {
  readonly side: Side;
  readonly route: string;
  readonly calls: number;
  readonly failures: number;
  /** Calls that hung past the old version's usual latency. */
  readonly overdue: number;
  /** Answers by latency, one more bucket than `LATENCY_EDGES_MS`. */
  readonly buckets: readonly number[];
}

/** Who sums up a report. */
export const ReportLevel = { Node: "node", Domain: "domain" } as const;
export type ReportLevel = typeof ReportLevel[keyof typeof ReportLevel];

/**
 * Sums since the source began. A later report of a source replaces its earlier
 * ones, so lost, repeated and reordered reports leave the sums right.
 */
export interface EvidenceReport {
  readonly rollout: string;
  readonly level: ReportLevel;
  /** Unique for each start of a process and each receiver that it chose. */
  readonly source: string;
  /** Grows by one for each report of a source. */
  readonly seq: number;
  readonly domain: string;
  /** Start of a reader, or term of a holder, that the report is meant for. */
  readonly receiver: string;
  readonly counts: readonly RouteCounts[];
}

/** What a sequential test looks at. */
export const Measure = {
  Errors: "errors",
  Slowness: "slowness",
  Overdue: "overdue",
} as const;
export type Measure = typeof Measure[keyof typeof Measure];

/** A fault with the counts that show it. */
export interface Finding {
  /** Name of the route, or `*` for all of them. */
  readonly route: string;
  readonly measure: Measure;
  readonly calls: number;
  readonly bad: number;
  readonly oldCalls: number;
  readonly oldBad: number;
  /** Log-likelihood ratio reached. */
  readonly score: number;
}

export type RolloutMessage =
  | { readonly type: "rollout/evidence"; readonly report: EvidenceReport }
  /** Stop sending calls to the version. */
  | {
    readonly type: "rollout/hold";
    readonly rollout: string;
    /** Node that saw the fault. */
    readonly origin: string;
    readonly reason: string;
  }
  /** Tells the holder that a failure domain holds the version. */
  | {
    readonly type: "rollout/held";
    readonly rollout: string;
    readonly origin: string;
    /** Failure domain whose evidence shows the fault, with what it shows. */
    readonly shown?: { readonly domain: string; readonly finding: Finding };
  }
  /** The holder ends a hold. */
  | {
    readonly type: "rollout/release";
    readonly rollout: string;
    /** Term of the holder's lease, so that a deposed one releases nothing. */
    readonly term: number;
    /** True when the fault was neither confirmed nor blamed elsewhere. */
    readonly isProbed: boolean;
  }
  /** The holder's sign of life to readers. */
  | {
    readonly type: "rollout/leading";
    readonly rollout: string;
    readonly term: number;
  };

const maxCounts = 2_000;
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
    v.maxLength(maxCounts),
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

/** Checks what a peer sent. */
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
