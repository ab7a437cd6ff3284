/**
 * What nodes tell each other of themselves and of their upstreams.
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
  /** A neighbour gets no answer. The member itself may refute it. */
  Suspect: "suspect",
  Left: "left",
  Dead: "dead",
} as const;
export type MemberStatus = typeof MemberStatus[keyof typeof MemberStatus];

/** A node's row. Its owner alone raises `(incarnation, revision)`. */
export interface MemberRow {
  readonly info: NodeInfo;
  readonly incarnation: number;
  readonly revision: number;
  readonly status: MemberStatus;
  readonly endpoints: readonly Announcement[];
  /** Version in force on the node. */
  readonly applied: Offset;
}

/** Which of a domain's summaries is meant, and what changes with each edit. */
export interface SummaryDigest {
  readonly domain: string;
  readonly revision: number;
  /** Node that summed up. Orders summaries of one revision. */
  readonly speaker: NodeId;
  readonly nodes: number;
  /** Lowest version in force on a live node of the domain. */
  readonly applied: Offset;
  /** Highest version in force on a live node of the domain. */
  readonly highest: Offset;
}

/** What one failure domain tells the others, never endpoint by endpoint. */
export interface DomainSummary extends SummaryDigest {
  readonly region: string;
  /** Some nodes below `highest`, those furthest behind first. */
  readonly laggards: readonly Laggard[];
  readonly gateways: readonly NodeId[];
  readonly services: readonly ServiceSummary[];
}

export interface Laggard {
  readonly node: NodeId;
  readonly applied: Offset;
}

export interface ServiceSummary {
  readonly service: string;
  readonly version: string;
  readonly slots: number;
}

/** Nodes that have one version in force. */
export interface AppliedReport {
  readonly version: Offset;
  readonly nodes: readonly NodeId[];
}

/**
 * `until` ends the range that the receiver of a broadcast passes it on to;
 * null where the message is for the receiver alone.
 */
export type MembershipMessage =
  /** A node presents itself. The answer is `membership/welcome`. */
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
  /** Repairs the buckets whose sums differ. */
  | {
    readonly type: "membership/sync";
    readonly buckets: readonly number[];
    /** Hashes of the sender's rows, null when it wants no rows. */
    readonly hashes: readonly number[] | null;
    /** Rows that the receiver does not hold. */
    readonly rows: readonly MemberRow[];
    /** True when the answer must not ask in its turn. */
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
  /** Summaries still in force. */
  | {
    readonly type: "membership/marks";
    readonly marks: readonly SummaryDigest[];
    readonly until: NodeId | null;
  }
  | { readonly type: "membership/want-summary"; readonly domain: string }
  /** A node that has just started asks what it must not serve below. */
  | { readonly type: "membership/want-floor"; readonly domain: string }
  | {
    readonly type: "membership/floor";
    readonly floor: Offset;
    /** True when the log's head, read after the question, was reached. */
    readonly isFresh: boolean;
  };

export interface Welcome {
  readonly domain: string;
  readonly rows: readonly MemberRow[];
  readonly summaries: readonly DomainSummary[];
}

/** A row as this node knows it, with the time it last grew. */
export interface KnownMember {
  readonly row: MemberRow;
  readonly receivedAt: MonotonicMs;
}

const maxRows = 2_000;
const maxSummaries = 200;
const maxServices = 5_000;
const count = v.pipe(v.number(), v.minValue(0));
const text = v.pipe(v.string(), v.minLength(1), v.maxLength(256));
const address = v.pipe(text, v.regex(/^[^\s/]+:\d{1,5}$/));
const until = v.nullable(address);
const row = v.strictObject({
  info: v.strictObject({ id: address, domain: text, region: text, boot: text }),
  incarnation: count,
  revision: count,
  status: v.picklist(Object.values(MemberStatus)),
  endpoints: v.pipe(
    v.array(v.strictObject({
      endpoint: address,
      service: text,
      version: text,
      slots: count,
      connections: count,
      state: v.picklist(Object.values(EndpointState)),
      load: v.number(),
      healthy: v.boolean(),
    })),
    v.maxLength(maxRows),
  ),
  applied: count,
});
const rows = v.pipe(v.array(row), v.maxLength(maxRows));
const mark = {
  domain: text,
  revision: count,
  speaker: address,
  nodes: count,
  applied: count,
  highest: count,
};
const summary = v.strictObject({
  ...mark,
  region: text,
  laggards: v.array(v.strictObject({ node: address, applied: count })),
  gateways: v.array(address),
  services: v.pipe(
    v.array(v.strictObject({ service: text, version: text, slots: count })),
    v.maxLength(maxServices),
  ),
});
const summaries = v.pipe(v.array(summary), v.maxLength(maxSummaries));
const literal = <T extends string>(name: T) => v.literal(`membership/${name}`);

/** Checks what a peer sent. */
export const membershipSchema: v.GenericSchema<unknown, MembershipMessage> = v
  .variant("type", [
    v.strictObject({ type: literal("join"), row }),
    v.strictObject({
      type: literal("welcome"),
      welcome: v.strictObject({ domain: text, rows, summaries }),
    }),
    v.strictObject({ type: literal("rows"), rows, until: address }),
    v.strictObject({
      type: literal("ping"),
      applied: count,
      sums: v.nullable(v.array(v.number())),
    }),
    v.strictObject({ type: literal("ack"), applied: count }),
    v.strictObject({
      type: literal("sync"),
      buckets: v.array(count),
      hashes: v.nullable(v.array(count)),
      rows,
      isLast: v.boolean(),
    }),
    v.strictObject({
      type: literal("applied"),
      reports: v.array(
        v.strictObject({ version: count, nodes: v.array(address) }),
      ),
    }),
    v.strictObject({ type: literal("summary"), summary, until }),
    v.strictObject({
      type: literal("marks"),
      marks: v.pipe(v.array(v.strictObject(mark)), v.maxLength(maxSummaries)),
      until,
    }),
    v.strictObject({ type: literal("want-summary"), domain: text }),
    v.strictObject({ type: literal("want-floor"), domain: text }),
    v.strictObject({
      type: literal("floor"),
      floor: count,
      isFresh: v.boolean(),
    }),
  ]);
