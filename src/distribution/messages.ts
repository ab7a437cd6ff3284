/**
 * How records of the log travel between nodes.
 * @module
 */
import * as v from "valibot";
import type { EncodedSnapshot } from "../config_log/encode_snapshot.ts";
import type { LogRecord } from "../config_log/messages.ts";
import type { NodeId, Offset } from "../core/types.ts";

export type DistributionMessage =
  /** Broadcast over the ring. Records in order of offset, without a gap. */
  | {
    readonly type: "distribution/records";
    readonly records: readonly LogRecord[];
    /** End of the range that the receiver passes the records on to. */
    readonly until: NodeId;
  }
  /** Where the sender stands. */
  | {
    readonly type: "distribution/head";
    readonly next: Offset;
    readonly digest: string;
  }
  /** Asks for the records from an offset on. */
  | {
    readonly type: "distribution/fetch";
    readonly from: Offset;
    /** Digest of the asker's state at `from`, empty when it knows none. */
    readonly digest: string;
  }
  /** Answer to a fetch: one page, and where the answering node stands. */
  | {
    readonly type: "distribution/page";
    readonly records: readonly LogRecord[];
    readonly head: Offset;
  }
  /** Asks for the whole state, after digests differed at one offset. */
  | { readonly type: "distribution/repair" }
  /** The whole state, for a peer too far behind for the kept tail. */
  | {
    readonly type: "distribution/snapshot";
    readonly snapshot: EncodedSnapshot;
  };

const offset = v.pipe(v.number(), v.safeInteger(), v.minValue(0));
const maxRecordLength = 4 * 1024 * 1024;
const maxRecords = 1_000;
const records = v.pipe(
  v.array(v.strictObject({
    offset,
    body: v.pipe(v.string(), v.maxLength(maxRecordLength)),
  })),
  v.maxLength(maxRecords),
  v.check(
    (all) =>
      all.every((one, index) => one.offset === (all[0]?.offset ?? 0) + index),
    "offsets have a gap",
  ),
);
const digest = v.pipe(v.string(), v.regex(/^([0-9a-f]{64})?$/));

/** Checks what a peer sent. */
export const distributionSchema: v.GenericSchema<unknown, DistributionMessage> =
  v.variant("type", [
    v.strictObject({
      type: v.literal("distribution/records"),
      records,
      until: v.string(),
    }),
    v.strictObject({
      type: v.literal("distribution/head"),
      next: offset,
      digest,
    }),
    v.strictObject({
      type: v.literal("distribution/fetch"),
      from: offset,
      digest,
    }),
    v.strictObject({
      type: v.literal("distribution/page"),
      records,
      head: offset,
    }),
    v.strictObject({ type: v.literal("distribution/repair") }),
    v.strictObject({
      type: v.literal("distribution/snapshot"),
      snapshot: v.strictObject({
        through: offset,
        hash: v.string(),
        data: v.string(),
      }),
    }),
  ]);
