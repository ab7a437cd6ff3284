/**
 * Records of the `claims` stream and the messages between nodes and the claim
 * readers, the nodes that read the stream.
 * @module
 */
import * as v from "valibot";
import type { Offset } from "../core/types.ts";

/** Stream of the platform's log that carries claims. */
export const CLAIMS_STREAM = "claims";

/** Limit on the answer body kept in an outcome, in bytes. */
export const MAX_OUTCOME_BODY_BYTES = 16 * 1024;

/** Limit on the header bytes kept in an outcome. */
export const MAX_OUTCOME_HEADER_BYTES = 1024;

/** The result of a run. */
export type RunOutcome =
  | {
    readonly type: "answered";
    readonly status: number;
    readonly headers: Readonly<Record<string, string>>;
    /** Body in base64. Absent when the body was too large to keep. */
    readonly body?: string;
  }
  /** The call may have run, but no answer was received. */
  | { readonly type: "unknown" };

/** Reserves one run of the call with this key. */
export interface ClaimItem {
  readonly type: "claim";
  /** Digest of customer, service and idempotency key. */
  readonly key: string;
  /** Id of the attempt, unique per request that a node receives. */
  readonly attempt: string;
  /** Digest of method, path and body. */
  readonly digest: string;
  /** Milliseconds until the call's deadline when the claim was made. */
  readonly leftMs: number;
}

/** The outcome of the attempt that holds the key. */
export interface OutcomeItem {
  readonly type: "outcome";
  readonly key: string;
  readonly attempt: string;
  readonly outcome: RunOutcome;
}

/** Releases a claim. Sent only by the node whose attempt did not run. */
export interface ReleaseItem {
  readonly type: "release";
  readonly key: string;
  readonly attempt: string;
}

/** One item of the stream. */
export type ClaimStreamItem = ClaimItem | OutcomeItem | ReleaseItem;

/** One record of the stream: a batch of items, written by one append. */
export interface ClaimBatch {
  /** Id of the reader that wrote the batch, unique per process start. */
  readonly writer: string;
  /** Oldest offset that the log kept when the writer last read. */
  readonly floor: Offset;
  readonly items: readonly ClaimStreamItem[];
}

/** What the folded stream decides about an attempt. */
export type ClaimVerdict =
  /** The attempt holds the key and may run. */
  | { readonly type: "won" }
  /**
   * Another attempt holds the key and has no outcome yet. `isLive` is true
   * while that attempt may still be running.
   */
  | { readonly type: "held"; readonly isLive: boolean }
  /** The key has an outcome. */
  | { readonly type: "done"; readonly outcome: RunOutcome }
  /** The key was used for another request. */
  | { readonly type: "mismatch" }
  /** The reader that sent this verdict can't decide, for the reason given. */
  | { readonly type: "away"; readonly reason: string };

/** Messages of claim requests. The type values start with `once/`. */
export type IdempotencyMessage =
  /** Requests a claim from a reader. */
  | { readonly type: "once/claim"; readonly claim: ClaimItem }
  /** A reader's answer to a claim. */
  | {
    readonly type: "once/verdict";
    readonly attempt: string;
    readonly verdict: ClaimVerdict;
  }
  /** Requests that a reader records the end of an attempt. */
  | {
    readonly type: "once/finish";
    readonly item: OutcomeItem | ReleaseItem;
  }
  /** The end of the attempt is recorded in the log. */
  | { readonly type: "once/finished"; readonly attempt: string };

const textSchema = v.pipe(v.string(), v.minLength(1), v.maxLength(256));
const MAX_HEADERS = 100;
const MAX_BASE64_CHARS = Math.ceil(MAX_OUTCOME_BODY_BYTES / 3) * 4;
const attemptEntries = { key: textSchema, attempt: textSchema };
const headersSchema = v.pipe(
  v.record(
    v.pipe(v.string(), v.maxLength(MAX_OUTCOME_HEADER_BYTES)),
    v.pipe(v.string(), v.maxLength(MAX_OUTCOME_HEADER_BYTES)),
  ),
  v.check(
    (all) => Object.keys(all).length <= MAX_HEADERS,
    `more than ${MAX_HEADERS} headers`,
  ),
);
const outcomeSchema = v.variant("type", [
  v.strictObject({
    type: v.literal("answered"),
    status: v.pipe(v.number(), v.minValue(100), v.maxValue(599)),
    headers: headersSchema,
    body: v.exactOptional(v.pipe(v.string(), v.maxLength(MAX_BASE64_CHARS))),
  }),
  v.strictObject({ type: v.literal("unknown") }),
]);
const verdictSchema = v.variant("type", [
  v.strictObject({ type: v.literal("won") }),
  v.strictObject({ type: v.literal("held"), isLive: v.boolean() }),
  v.strictObject({ type: v.literal("done"), outcome: outcomeSchema }),
  v.strictObject({ type: v.literal("mismatch") }),
  v.strictObject({
    type: v.literal("away"),
    reason: v.pipe(v.string(), v.maxLength(1_024)),
  }),
]);
const literal = <T extends string>(name: T) => v.literal(`once/${name}`);

/** Validates a message from a peer. */
export const idempotencySchema: v.GenericSchema<unknown, IdempotencyMessage> = v
  .variant("type", [
    v.strictObject({
      type: literal("claim"),
      claim: v.strictObject({
        type: v.literal("claim"),
        ...attemptEntries,
        digest: textSchema,
        leftMs: v.number(),
      }),
    }),
    v.strictObject({
      type: literal("verdict"),
      attempt: textSchema,
      verdict: verdictSchema,
    }),
    v.strictObject({
      type: literal("finish"),
      item: v.variant("type", [
        v.strictObject({
          type: v.literal("outcome"),
          ...attemptEntries,
          outcome: outcomeSchema,
        }),
        v.strictObject({ type: v.literal("release"), ...attemptEntries }),
      ]),
    }),
    v.strictObject({ type: literal("finished"), attempt: textSchema }),
  ]);
