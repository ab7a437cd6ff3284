/**
 * Messages about crashed upstreams between the nodes of a failure domain.
 *
 * In keys and values of messages, `trial` is an isolated run: a suspected
 * request that runs alone at its endpoint.
 * @module
 */
import * as v from "valibot";
import type { MonotonicMs } from "../core/types.ts";

/**
 * Digest of a request's customer, service, method, path and body. A large body
 * is replaced by the idempotency key, if there is one.
 */
export type Fingerprint = string;

/**
 * The crashes of one fingerprint. Rows merge by union, so their order of
 * arrival does not matter.
 */
export interface SuspectRow {
  readonly fingerprint: Fingerprint;
  /** Ids of the crashes during which the request was in flight. */
  readonly crashes: readonly string[];
  /**
   * Ids of crashes that no longer count against the request, because a run of
   * it was answered completely.
   */
  readonly excused: readonly string[];
}

export type QuarantineMessage =
  /** Rows that the receiver merges into the rows that it stores. */
  | {
    readonly type: "quarantine/rows";
    readonly rows: readonly SuspectRow[];
    /**
     * Id of the crash that the receiver confirms. Absent when no confirmation
     * is expected.
     */
    readonly crash?: string;
  }
  /** Confirms that the rows of a crash have been received and merged. */
  | { readonly type: "quarantine/heard"; readonly crash: string }
  /**
   * Requests an isolated run from the fingerprint's arbiter, which grants one
   * at a time in the failure domain.
   */
  | {
    readonly type: "quarantine/ask";
    readonly fingerprint: Fingerprint;
    /** Id of the requested isolated run. */
    readonly trial: string;
    /** Milliseconds until the deadline of the call. */
    readonly leftMs: MonotonicMs;
  }
  /** The arbiter's answer to `quarantine/ask`. */
  | {
    readonly type: "quarantine/answer";
    readonly trial: string;
    readonly isGranted: boolean;
    readonly row: SuspectRow;
  }
  /** The isolated run has ended. `row` carries its result. */
  | {
    readonly type: "quarantine/over";
    readonly fingerprint: Fingerprint;
    readonly trial: string;
    readonly row: SuspectRow;
  };

const MAX_ROWS = 4_096;
const MAX_CRASHES_PER_ROW = 1_024;
const textSchema = v.pipe(v.string(), v.minLength(1), v.maxLength(512));
const crashesSchema = v.pipe(
  v.array(textSchema),
  v.maxLength(MAX_CRASHES_PER_ROW),
);
const rowSchema = v.strictObject({
  fingerprint: textSchema,
  crashes: crashesSchema,
  excused: crashesSchema,
});
const literal = <T extends string>(name: T) => v.literal(`quarantine/${name}`);

/** Validates a message from a peer. */
export const quarantineSchema: v.GenericSchema<unknown, QuarantineMessage> = v
  .variant("type", [
    v.strictObject({
      type: literal("rows"),
      rows: v.pipe(v.array(rowSchema), v.maxLength(MAX_ROWS)),
      crash: v.exactOptional(textSchema),
    }),
    v.strictObject({ type: literal("heard"), crash: textSchema }),
    v.strictObject({
      type: literal("ask"),
      fingerprint: textSchema,
      trial: textSchema,
      leftMs: v.number(),
    }),
    v.strictObject({
      type: literal("answer"),
      trial: textSchema,
      isGranted: v.boolean(),
      row: rowSchema,
    }),
    v.strictObject({
      type: literal("over"),
      fingerprint: textSchema,
      trial: textSchema,
      row: rowSchema,
    }),
  ]);
