/**
 * Messages by which nodes exchange records of the log. Names of messages and
 * fields are on the wire.
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
    /** End of the ring range that the receiver forwards the records to. */
    readonly until: NodeId;
  }
  /** The sender's next offset, and the digest of its state there. */
  | {
    readonly type: "distribution/head";
    readonly next: Offset;
    readonly digest: string;
  }
  /** Requests the records from an offset on. */
  | {
    readonly type: "distribution/fetch";
    readonly from: Offset;
    /** Digest of the sender's state at `from`, empty if it has none. */
    readonly digest: string;
  }
  /** Answers a fetch: one page of records, and the sender's next offset. */
  | {
    readonly type: "distribution/page";
    readonly records: readonly LogRecord[];
    readonly head: Offset;
  }
  /** Requests a snapshot, after digests differed at the same offset. */
  | { readonly type: "distribution/repair" }
  /** The complete state, for a peer that is older than the kept records. */
  | {
    readonly type: "distribution/snapshot";
    readonly snapshot: EncodedSnapshot;
  };

const offsetSchema = v.pipe(v.number(), v.safeInteger(), v.minValue(0));
/** Maximum number of characters of one record body. */
const MAX_RECORD_LENGTH = 4 * 1024 * 1024;
/** Maximum number of records in one message. */
const MAX_RECORDS = 1_000;
const recordsSchema = v.pipe(
  v.array(v.strictObject({
    offset: offsetSchema,
    body: v.pipe(v.string(), v.maxLength(MAX_RECORD_LENGTH)),
  })),
  v.maxLength(MAX_RECORDS),
  v.check(
    (all) =>
      all.every((one, index) => one.offset === (all[0]?.offset ?? 0) + index),
    "offsets have a gap",
  ),
);
const digestSchema = v.pipe(v.string(), v.regex(/^([0-9a-f]{64})?$/));

/** Validates a message that a peer sent. */
export const distributionSchema: v.GenericSchema<unknown, DistributionMessage> =
  v.variant("type", [
    v.strictObject({
      type: v.literal("distribution/records"),
      records: recordsSchema,
      until: v.string(),
    }),
    v.strictObject({
      type: v.literal("distribution/head"),
      next: offsetSchema,
      digest: digestSchema,
    }),
    v.strictObject({
      type: v.literal("distribution/fetch"),
      from: offsetSchema,
      digest: digestSchema,
    }),
    v.strictObject({
      type: v.literal("distribution/page"),
      records: recordsSchema,
      head: offsetSchema,
    }),
    v.strictObject({ type: v.literal("distribution/repair") }),
    v.strictObject({
      type: v.literal("distribution/snapshot"),
      snapshot: v.strictObject({
        through: offsetSchema,
        hash: v.string(),
        data: v.string(),
      }),
    }),
  ]);
