/**
 * Records of the `claims` stream and what nodes ask its readers.
 * @module
 */
import * as v from "valibot";
import type { Offset } from "../core/types.ts";

/** Stream of the platform's log that carries claims. */
export const CLAIMS_STREAM = "claims";

/** Largest answer body that an outcome keeps, in bytes. */
export const MAX_OUTCOME_BODY_BYTES = 16 * 1024;

/** Most bytes of headers that an outcome keeps. */
export const MAX_OUTCOME_HEADER_BYTES = 1024;

/** How a run ended. */
export type RunOutcome =
  | {
    readonly type: "answered";
    readonly status: number;
    readonly headers: Readonly<Record<string, string>>;
    /** Base64. Absent when the body was too large to keep. */
    readonly body?: string;
  }
  /** It may have run: nobody saw its answer. */
  | { readonly type: "unknown" };

/** Reserves one run of the call with this key. */
export interface ClaimItem {
  readonly type: "claim";
  /** Digest of customer, service and idempotency key. */
  readonly key: string;
  /** Unique for each request that a node takes. */
  readonly attempt: string;
  /** Digest of method, path and body. */
  readonly digest: string;
  /** Milliseconds that the call had left when it claimed. */
  readonly leftMs: number;
}

/** How the attempt that holds the claim ended. */
export interface OutcomeItem {
  readonly type: "outcome";
  readonly key: string;
  readonly attempt: string;
  readonly outcome: RunOutcome;
}

/** Gives a claim up. Sent only by the node whose attempt did not run. */
export interface ReleaseItem {
  readonly type: "release";
  readonly key: string;
  readonly attempt: string;
}

export type ClaimStreamItem = ClaimItem | OutcomeItem | ReleaseItem;

/** One record of the stream: a batch, so that it costs one append. */
export interface ClaimBatch {
  /** Unique for each start of a reader. */
  readonly writer: string;
  /** Oldest offset that the writer knew the log to keep. */
  readonly floor: Offset;
  readonly items: readonly ClaimStreamItem[];
}

/** What the folded stream says of an attempt. */
export type ClaimVerdict =
  | { readonly type: "won" }
  /** Another attempt holds the key and has no outcome yet. */
  | { readonly type: "held"; readonly isLive: boolean }
  | { readonly type: "done"; readonly outcome: RunOutcome }
  /** The key was used for another request. */
  | { readonly type: "mismatch" }
  /** This reader can't decide now. */
  | { readonly type: "away"; readonly reason: string };

export type IdempotencyMessage =
  /** Asks a reader for a claim. */
  | { readonly type: "once/claim"; readonly claim: ClaimItem }
  | {
    readonly type: "once/verdict";
    readonly attempt: string;
    readonly verdict: ClaimVerdict;
  }
  /** Asks a reader to record how an attempt ended. */
  | {
    readonly type: "once/finish";
    readonly item: OutcomeItem | ReleaseItem;
  }
  /** The record of the attempt's end is in the log. */
  | { readonly type: "once/finished"; readonly attempt: string };

const text = v.pipe(v.string(), v.minLength(1), v.maxLength(256));
const maxHeaders = 100;
const maxBase64Chars = Math.ceil(MAX_OUTCOME_BODY_BYTES / 3) * 4;
const attempt = { key: text, attempt: text };
const headers = v.pipe(
  v.record(
    v.pipe(v.string(), v.maxLength(MAX_OUTCOME_HEADER_BYTES)),
    v.pipe(v.string(), v.maxLength(MAX_OUTCOME_HEADER_BYTES)),
  ),
  v.check(
    (all) => Object.keys(all).length <= maxHeaders,
    `more than ${maxHeaders} headers`,
  ),
);
const outcome = v.variant("type", [
  v.strictObject({
    type: v.literal("answered"),
    status: v.pipe(v.number(), v.minValue(100), v.maxValue(599)),
    headers,
    body: v.exactOptional(v.pipe(v.string(), v.maxLength(maxBase64Chars))),
  }),
  v.strictObject({ type: v.literal("unknown") }),
]);
const verdict = v.variant("type", [
  v.strictObject({ type: v.literal("won") }),
  v.strictObject({ type: v.literal("held"), isLive: v.boolean() }),
  v.strictObject({ type: v.literal("done"), outcome }),
  v.strictObject({ type: v.literal("mismatch") }),
  v.strictObject({
    type: v.literal("away"),
    reason: v.pipe(v.string(), v.maxLength(1_024)),
  }),
]);
const literal = <T extends string>(name: T) => v.literal(`once/${name}`);

/** Checks what a peer sent. */
export const idempotencySchema: v.GenericSchema<unknown, IdempotencyMessage> = v
  .variant("type", [
    v.strictObject({
      type: literal("claim"),
      claim: v.strictObject({
        type: v.literal("claim"),
        ...attempt,
        digest: text,
        leftMs: v.number(),
      }),
    }),
    v.strictObject({ type: literal("verdict"), attempt: text, verdict }),
    v.strictObject({
      type: literal("finish"),
      item: v.variant("type", [
        v.strictObject({ type: v.literal("outcome"), ...attempt, outcome }),
        v.strictObject({ type: v.literal("release"), ...attempt }),
      ]),
    }),
    v.strictObject({ type: literal("finished"), attempt: text }),
  ]);
