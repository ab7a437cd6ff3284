/**
 * Messages about crashed upstreams between the nodes of a failure domain.
 *
 * In keys and values of messages, `trial` is an isolated run: a suspected request
 * that runs alone at its endpoint.
 * @module
 */
import * as v from "valibot";
import type { MonotonicMs } from "../core/types.ts";

/**
 * Digest of a request: customer, service, method, path and small body (or the
 * idempotency key).
 */
export type Fingerprint = string;

/**
 * The crashes of one fingerprint. Rows merge by union, so their order of arrival
 * does not matter.
 */
export interface SuspectRow {
  readonly fingerprint: Fingerprint;
  /** Identities of the crashes during which the request was in flight. */
  readonly crashes: readonly string[];
  /** Crashes of which a completely answered run cleared the request. */
  readonly excused: readonly string[];
}

export type QuarantineMessage =
  /** Rows that the receiver merges into its own. */
  | {
    readonly type: "quarantine/rows";
    readonly rows: readonly SuspectRow[];
    /** Crash that the receiver confirms. Absent when none is expected. */
    readonly crash?: string;
  }
  /** Confirms that the rows of a crash have been received and merged. */
  | { readonly type: "quarantine/heard"; readonly crash: string }
  /**
   * Requests an isolated run from the fingerprint's arbiter, which grants one at
   * a time in the failure domain.
   */
  | {
    readonly type: "quarantine/ask";
    readonly fingerprint: Fingerprint;
    /** Identity of the requested isolated run. */
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
const text = v.pipe(v.string(), v.minLength(1), v.maxLength(512));
const crashes = v.pipe(v.array(text), v.maxLength(MAX_CRASHES_PER_ROW));
const row = v.strictObject({ fingerprint: text, crashes, excused: crashes });
const literal = <T extends string>(name: T) => v.literal(`quarantine/${name}`);

/** Validates a message from a peer. */
export const quarantineSchema: v.GenericSchema<unknown, QuarantineMessage> = v
  .variant("type", [
    v.strictObject({
      type: literal("rows"),
      rows: v.pipe(v.array(row), v.maxLength(MAX_ROWS)),
      crash: v.exactOptional(text),
    }),
    v.strictObject({ type: literal("heard"), crash: text }),
    v.strictObject({
      type: literal("ask"),
      fingerprint: text,
      trial: text,
      leftMs: v.number(),
    }),
    v.strictObject({
      type: literal("answer"),
      trial: text,
      isGranted: v.boolean(),
      row,
    }),
    v.strictObject({
      type: literal("over"),
      fingerprint: text,
      trial: text,
      row,
    }),
  ]);
