/**
 * Messages by which nodes exchange member rows, applied versions and summaries
 * of failure domains. Names of messages and fields are on the wire.
 * @module
 */
import * as v from "valibot";
import {
  type Announcement,
  EndpointState,
  type MonotonicMs,
  type NodeId,
  type NodeInfo,
  type Offset,
} from "../core/types.ts";

export const MemberStatus = {
  Alive: "alive",
  /** The member has not answered pings. It may refute the suspicion. */
  Suspect: "suspect",
  Left: "left",
  Dead: "dead",
} as const;
export type MemberStatus = typeof MemberStatus[keyof typeof MemberStatus];

/** A node's gossip row. Only that node raises `(incarnation, revision)`. */
export interface MemberRow {
  readonly info: NodeInfo;
  /** Start time of the process, raised to refute a suspicion. */
  readonly incarnation: number;
  readonly revision: number;
  readonly status: MemberStatus;
  readonly endpoints: readonly Announcement[];
  /** Configuration version in force on the node. */
  readonly applied: Offset;
}

/**
 * Digest of a domain summary: what identifies and orders it, and the fields
 * that change with each configuration edit.
 */
export interface SummaryDigest {
  readonly domain: string;
  readonly revision: number;
  /** Node that published the summary. Orders summaries of one revision. */
  readonly speaker: NodeId;
  /** Members of the domain. */
  readonly nodes: number;
  /** Lowest version in force on a live node of the domain. */
  readonly applied: Offset;
  /** Highest version in force on a live node of the domain. */
  readonly highest: Offset;
}

/** What a failure domain publishes to the others: totals, not endpoints. */
export interface DomainSummary extends SummaryDigest {
  readonly region: string;
  /** Some nodes whose version is below `highest`, the lowest version first. */
  readonly laggards: readonly Laggard[];
  /** Nodes of the domain that other domains connect to. */
  readonly gateways: readonly NodeId[];
  readonly services: readonly ServiceSummary[];
}

/** A node whose version is below the highest of its domain. */
export interface Laggard {
  readonly node: NodeId;
  readonly applied: Offset;
}

/** Capacity of one service version in a domain, over all its home nodes. */
export interface ServiceSummary {
  readonly service: string;
  readonly version: string;
  readonly slots: number;
}

/** Nodes that have the same version in force. */
export interface AppliedReport {
  readonly version: Offset;
  readonly nodes: readonly NodeId[];
}

/**
 * In a broadcast, `until` is the end of the ring range that the receiver
 * forwards the message to. Null: the message is for the receiver only.
 */
export type MembershipMessage =
  /** A node asks to join. The answer is `membership/welcome`. */
  | { readonly type: "membership/join"; readonly row: MemberRow }
  | { readonly type: "membership/welcome"; readonly welcome: Welcome }
  | {
    readonly type: "membership/rows";
    readonly rows: readonly MemberRow[];
    readonly until: NodeId;
  }
  | {
    readonly type: "membership/ping";
    readonly applied: Offset;
    /** Sums of the sender's rows by bucket, null in most pings. */
    readonly sums: readonly number[] | null;
  }
  | { readonly type: "membership/ack"; readonly applied: Offset }
  /** Repairs the buckets of rows whose sums differ between two nodes. */
  | {
    readonly type: "membership/sync";
    readonly buckets: readonly number[];
    /** Hashes of the sender's rows. Null: the sender asks for no rows. */
    readonly hashes: readonly number[] | null;
    /** Rows that the receiver lacks. */
    readonly rows: readonly MemberRow[];
    /** True when the answer must not ask for rows again. */
    readonly isLast: boolean;
  }
  | {
    readonly type: "membership/applied";
    readonly reports: readonly AppliedReport[];
  }
  | {
    readonly type: "membership/summary";
    readonly summary: DomainSummary;
    readonly until: NodeId | null;
  }
  /** Digests of summaries that are still valid. */
  | {
    readonly type: "membership/marks";
    readonly marks: readonly SummaryDigest[];
    readonly until: NodeId | null;
  }
  | { readonly type: "membership/want-summary"; readonly domain: string }
  /** A node that has just started asks for its version floor. */
  | { readonly type: "membership/want-floor"; readonly domain: string }
  | {
    readonly type: "membership/floor";
    readonly floor: Offset;
    /**
     * True when the answering node read the log's head after the request and
     * has reached it.
     */
    readonly isFresh: boolean;
  };

/** The answering node's view, sent to a node that joins. */
export interface Welcome {
  readonly domain: string;
  readonly rows: readonly MemberRow[];
  readonly summaries: readonly DomainSummary[];
}

/** A member's row, with the time at which this node last stored it. */
export interface KnownMember {
  readonly row: MemberRow;
  readonly receivedAt: MonotonicMs;
}

/** Maximum number of rows in one message, and of endpoints in one row. */
const MAX_ROWS = 2_000;
/** Maximum number of summaries or digests in one message. */
const MAX_SUMMARIES = 200;
/** Maximum number of service versions in one summary. */
const MAX_SERVICES = 5_000;
const countSchema = v.pipe(v.number(), v.minValue(0));
const textSchema = v.pipe(v.string(), v.minLength(1), v.maxLength(256));
const addressSchema = v.pipe(textSchema, v.regex(/^[^\s/]+:\d{1,5}$/));
const untilSchema = v.nullable(addressSchema);
const rowSchema = v.strictObject({
  info: v.strictObject({
    id: addressSchema,
    domain: textSchema,
    region: textSchema,
    boot: textSchema,
  }),
  incarnation: countSchema,
  revision: countSchema,
  status: v.picklist(Object.values(MemberStatus)),
  endpoints: v.pipe(
    v.array(v.strictObject({
      endpoint: addressSchema,
      service: textSchema,
      version: textSchema,
      slots: countSchema,
      connections: countSchema,
      state: v.picklist(Object.values(EndpointState)),
      load: v.number(),
      healthy: v.boolean(),
    })),
    v.maxLength(MAX_ROWS),
  ),
  applied: countSchema,
});
const rowsSchema = v.pipe(v.array(rowSchema), v.maxLength(MAX_ROWS));
const digestEntries = {
  domain: textSchema,
  revision: countSchema,
  speaker: addressSchema,
  nodes: countSchema,
  applied: countSchema,
  highest: countSchema,
};
const summarySchema = v.strictObject({
  ...digestEntries,
  region: textSchema,
  laggards: v.array(
    v.strictObject({ node: addressSchema, applied: countSchema }),
  ),
  gateways: v.array(addressSchema),
  services: v.pipe(
    v.array(
      v.strictObject({
        service: textSchema,
        version: textSchema,
        slots: countSchema,
      }),
    ),
    v.maxLength(MAX_SERVICES),
  ),
});
const summariesSchema = v.pipe(
  v.array(summarySchema),
  v.maxLength(MAX_SUMMARIES),
);
const literal = <T extends string>(name: T) => v.literal(`membership/${name}`);

/** Validates a message that a peer sent. */
export const membershipSchema: v.GenericSchema<unknown, MembershipMessage> = v
  .variant("type", [
    v.strictObject({ type: literal("join"), row: rowSchema }),
    v.strictObject({
      type: literal("welcome"),
      welcome: v.strictObject({
        domain: textSchema,
        rows: rowsSchema,
        summaries: summariesSchema,
      }),
    }),
    v.strictObject({
      type: literal("rows"),
      rows: rowsSchema,
      until: addressSchema,
    }),
    v.strictObject({
      type: literal("ping"),
      applied: countSchema,
      sums: v.nullable(v.array(v.number())),
    }),
    v.strictObject({ type: literal("ack"), applied: countSchema }),
    v.strictObject({
      type: literal("sync"),
      buckets: v.array(countSchema),
      hashes: v.nullable(v.array(countSchema)),
      rows: rowsSchema,
      isLast: v.boolean(),
    }),
    v.strictObject({
      type: literal("applied"),
      reports: v.array(
        v.strictObject({ version: countSchema, nodes: v.array(addressSchema) }),
      ),
    }),
    v.strictObject({
      type: literal("summary"),
      summary: summarySchema,
      until: untilSchema,
    }),
    v.strictObject({
      type: literal("marks"),
      marks: v.pipe(
        v.array(v.strictObject(digestEntries)),
        v.maxLength(MAX_SUMMARIES),
      ),
      until: untilSchema,
    }),
    v.strictObject({ type: literal("want-summary"), domain: textSchema }),
    v.strictObject({ type: literal("want-floor"), domain: textSchema }),
    v.strictObject({
      type: literal("floor"),
      floor: countSchema,
      isFresh: v.boolean(),
    }),
  ]);
