/**
 * Interface of the store: topics of keyed records.
 * @module
 */
import type { ResultAsync } from "neverthrow";
import type { LagoonError } from "../core/errors.ts";
import type { Offset } from "../core/types.ts";

/** A record of a keyed topic. A record without a value deletes its key. */
export interface KeyedRecord {
  readonly key: string;
  readonly value: Buffer | undefined;
}

/** Records in the order of the topic. */
export interface RecordPage {
  readonly records: readonly KeyedRecord[];
  /** Offset of the next read. */
  readonly next: Offset;
  /** Era of the store, if its answer states one. */
  readonly era?: number | undefined;
}

/** Result of an append. */
export interface Appended {
  /** Offset of the first record. */
  readonly offset: Offset;
  /** Era of the store, if its answer states one. */
  readonly era?: number | undefined;
}

/** Why a call to the store failed. */
export type StoreFault =
  /**
   * The requested records are no longer kept. `first` is the first offset kept.
   */
  | { readonly type: "dropped"; readonly first: Offset }
  /** The condition of an append does not hold. */
  | { readonly type: "conflict" }
  /** The holder of a newer lease has written. */
  | { readonly type: "fenced" }
  /**
   * The store refused the call or is unreachable, or its answer was lost.
   * `mayBeDone` states whether the call may have been carried out nevertheless.
   */
  | { readonly type: "unavailable"; readonly mayBeDone: boolean };

export interface StoreError extends LagoonError {
  readonly fault: StoreFault;
  /** Era of the store, if it answered and states one. */
  readonly era?: number | undefined;
}

/** Condition under which the store carries out an append. */
export type AppendCondition =
  | { readonly type: "none" }
  /** The topic ends at this offset. */
  | { readonly type: "at-end"; readonly end: Offset }
  /** No producer of this name has written with a higher epoch. */
  | {
    readonly type: "fenced";
    readonly producer: string;
    readonly epoch: number;
    /** Grows by one with each append of the epoch. */
    readonly seq: number;
  }
  /** Both: the topic ends there, and no higher epoch has written. */
  | {
    readonly type: "at-end-fenced";
    readonly end: Offset;
    readonly producer: string;
    readonly epoch: number;
    readonly seq: number;
  };

/** Options of `KeyedStore.append`. */
export interface AppendOptions {
  readonly topic: string;
  readonly records: readonly KeyedRecord[];
  readonly condition: AppendCondition;
  /** Aborts the call. The store may carry it out nevertheless. */
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

/** Client of the store. */
export interface KeyedStore {
  append(opts: AppendOptions): ResultAsync<Appended, StoreError>;
  /**
   * Reads records from `from` on. Returns an empty page if none arrives in
   * time.
   */
  read(opts: ReadOptions): ResultAsync<RecordPage, StoreError>;
  /** Reads the newest record of each key. */
  newest(
    topic: string,
    signal: AbortSignal,
  ): ResultAsync<RecordPage, StoreError>;
  close(): Promise<void>;
}
