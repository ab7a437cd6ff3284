/**
 * Decides whether a request may be served, by the API key that it states.
 * @module
 */
import { exhausted } from "../core/exhausted.ts";
import type { Route, RouteTable } from "../routes/state.ts";
import type { CallAccount, StatedKey } from "./state.ts";

/** What a request's id says about a parent call. */
export const Parent = {
  /** The id names no parent. */
  None: "none",
  /** The endpoint on this VM runs the parent. */
  RunsHere: "runs-here",
  /** The id names a parent that is not known to run here. */
  Unknown: "unknown",
} as const;
export type Parent = typeof Parent[keyof typeof Parent];

/** Why a request is refused for its API key. */
export const KeyFault = {
  Missing: "missing",
  /** The request states more than one key. */
  Several: "several",
  Unknown: "unknown",
  /** The key was known when the request arrived. */
  Revoked: "revoked",
} as const;
export type KeyFault = typeof KeyFault[keyof typeof KeyFault];

/** Options of `checkKey`. */
export interface CheckKeyOptions {
  readonly table: RouteTable | undefined;
  /** Route of the request. Without one, a key is required. */
  readonly route: Route | undefined;
  readonly key: StatedKey;
  readonly parent: Parent;
}

export type KeyCheck =
  | { readonly type: "account"; readonly account: CallAccount }
  /** Served without an account. */
  | { readonly type: "no-account" }
  | { readonly type: "unknown-key"; readonly fault: KeyFault }
  /** No configuration is known, so no key is. */
  | { readonly type: "no-table" }
  /** It may be a nested call whose parent began before this node started. */
  | { readonly type: "unknown-parent" };

const NO_ACCOUNT: KeyCheck = { type: "no-account" };

/**
 * Checks the key of a request. Nested calls and routes that are open to anyone
 * need none. A request that states a key is a client's, whatever its id says.
 */
export function checkKey(opts: CheckKeyOptions): KeyCheck {
  const { table, key } = opts;
  if (table === undefined) return { type: "no-table" };
  const { accounts } = table;
  if (accounts === undefined || opts.route?.isAnonymous === true) {
    return NO_ACCOUNT;
  }
  switch (key.type) {
    case "several":
      return { type: "unknown-key", fault: KeyFault.Several };
    case "none":
      return checkParent(opts.parent);
    case "one": {
      const entry = accounts.byKey.get(key.key);
      if (entry === undefined) {
        return { type: "unknown-key", fault: KeyFault.Unknown };
      }
      const { account: { name, urgency }, keyHash } = entry;
      const tableVersion = table.version;
      const account = { name, urgency, keyHash, tableVersion };
      return { type: "account", account };
    }
    default:
      return exhausted(key);
  }
}

function checkParent(parent: Parent): KeyCheck {
  switch (parent) {
    case Parent.RunsHere:
      return NO_ACCOUNT;
    case Parent.Unknown:
      return { type: "unknown-parent" };
    case Parent.None:
      return { type: "unknown-key", fault: KeyFault.Missing };
    default:
      return exhausted(parent);
  }
}
