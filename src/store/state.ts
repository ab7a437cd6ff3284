/**
 * The store as the product sees it: topics of keyed records.
 * @module
 */
import type { ResultAsync } from "neverthrow";
import type { LagoonError } from "../core/errors.ts";
import type { Offset } from "../core/types.ts";

/** A record of a keyed topic. Without a value its key is dropped. */
export interface KeyedRecord {
  readonly key: string;
  readonly value: Buffer | undefined;
}

/** Records in the order of the topic. */
export interface RecordPage {
  readonly records: readonly KeyedRecord[];
  /** Offset at which reading goes on. */
  readonly next: Offset;
}

/** Why the store did not do what it was asked. */
export type StoreFault =
  /** The records asked for are no longer kept. */
  | { readonly type: "dropped"; readonly first: Offset }
  /** The condition of an append does not hold. */
  | { readonly type: "conflict" }
  /** A newer lease has written. */
  | { readonly type: "fenced" }
  /** Refused, unreachable, or its answer was lost. */
  | { readonly type: "unavailable"; readonly mayBeDone: boolean };

export interface StoreError extends LagoonError {
  readonly fault: StoreFault;
}

/** Condition under which an append is done. */
export type AppendCondition =
  | { readonly type: "none" }
  /** The topic ends at this offset. */
  | { readonly type: "at-end"; readonly end: Offset }
  /** No higher epoch has written under the producer's name. */
  | {
    readonly type: "fenced";
    readonly producer: string;
    readonly epoch: number;
    /** Grows by one with each append of the epoch. */
    readonly seq: number;
  };

/** Options of `KeyedStore.append`. */
export interface AppendOptions {
  readonly topic: string;
  readonly records: readonly KeyedRecord[];
  readonly condition: AppendCondition;
  /** Gives the call up. It may still be done. */
  readonly signal?: AbortSignal | undefined;
}

/** Options of `KeyedStore.read`. */
export interface ReadOptions {
  readonly topic: string;
  readonly from: Offset;
  /** Longest time that the store waits for a record, in milliseconds. */
  readonly waitMs: number;
  readonly signal: AbortSignal;
}

/** The one client of the store. */
export interface KeyedStore {
  append(opts: AppendOptions): ResultAsync<Offset, StoreError>;
  /** Waits for records after `from`. No record in time is an empty page. */
  read(opts: ReadOptions): ResultAsync<RecordPage, StoreError>;
  /** The newest record of each key. */
  newest(
    topic: string,
    signal: AbortSignal,
  ): ResultAsync<RecordPage, StoreError>;
  close(): Promise<void>;
}
