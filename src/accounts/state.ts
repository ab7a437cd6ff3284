/**
 * Client accounts of a configuration, and what a call carries of its account.
 * @module
 */

/** Requests that an account may make at all nodes together. */
export interface Allowance {
  /** Requests per second. */
  readonly perSecond: number;
  /** Requests beyond the rate that may come at once. */
  readonly burst: number;
}

/** A client account, as operators define it. */
export interface Account {
  readonly name: string;
  /** 0 is the most urgent. Compared before the urgency of the route. */
  readonly urgency: number;
  /** Undefined for an account without a limit. */
  readonly allowance: Allowance | undefined;
}

/** What an API key stands for. */
export interface KeyEntry {
  readonly account: Account;
  /** Hash of the key (see `hashKey`). */
  readonly keyHash: number;
}

/** The accounts of one configuration. Immutable, as its route table. */
export interface AccountTable {
  /** Accounts by API key. No key belongs to two accounts. */
  readonly byKey: ReadonlyMap<string, KeyEntry>;
  readonly byName: ReadonlyMap<string, Account>;
  /** Hashes of all keys. */
  readonly keyHashes: ReadonlySet<number>;
}

/** API key that a request states. */
export type StatedKey =
  | { readonly type: "none" }
  | { readonly type: "one"; readonly key: string }
  | { readonly type: "several" };

/** What a call tells home nodes of its account. */
export interface CallAccount {
  readonly name: string;
  readonly urgency: number;
  /**
   * Hash of the API key, so that a home node can find out whether the key has
   * been withdrawn. The key itself stays at the node that received the request.
   */
  readonly keyHash: number;
  /** Configuration version that the key was checked with. */
  readonly tableVersion: number;
}
