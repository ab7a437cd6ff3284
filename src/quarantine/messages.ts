/**
 * What nodes of a failure domain tell each other of crashed upstreams.
 * @module
 */
import * as v from "valibot";
import type { MonotonicMs } from "../core/types.ts";

/** Digest of a request: customer, service, method, path and small body. */
export type Fingerprint = string;

/** What is known of one fingerprint. Merging is a union in any order. */
export interface SuspectRow {
  readonly fingerprint: Fingerprint;
  /** Identities of the crashes that the request was in flight at. */
  readonly crashes: readonly string[];
  /** Crashes that a whole run of the same request has excused. */
  readonly excused: readonly string[];
}

export type QuarantineMessage =
  | {
    readonly type: "quarantine/rows";
    readonly rows: readonly SuspectRow[];
    /** Crash to confirm, absent when nothing waits for it. */
    readonly crash?: string;
  }
  /** Confirms that the rows of a crash are known. */
  | { readonly type: "quarantine/heard"; readonly crash: string }
  /** Asks the fingerprint's arbiter for the only trial in the domain. */
  | {
    readonly type: "quarantine/ask";
    readonly fingerprint: Fingerprint;
    readonly trial: string;
    /** Milliseconds that the call has left. */
    readonly leftMs: MonotonicMs;
  }
  | {
    readonly type: "quarantine/answer";
    readonly trial: string;
    readonly isGranted: boolean;
    readonly row: SuspectRow;
  }
  /** The trial is over. What it showed travels as a row. */
  | {
    readonly type: "quarantine/over";
    readonly fingerprint: Fingerprint;
    readonly trial: string;
    readonly row: SuspectRow;
  };

const maxRows = 4_096;
const maxCrashes = 1_024;
const text = v.pipe(v.string(), v.minLength(1), v.maxLength(512));
const crashes = v.pipe(v.array(text), v.maxLength(maxCrashes));
const row = v.strictObject({ fingerprint: text, crashes, excused: crashes });
const literal = <T extends string>(name: T) => v.literal(`quarantine/${name}`);

/** Checks what a peer sent. */
export const quarantineSchema: v.GenericSchema<unknown, QuarantineMessage> = v
  .variant("type", [
    v.strictObject({
      type: literal("rows"),
      rows: v.pipe(v.array(row), v.maxLength(maxRows)),
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
