/**
 * Compiles the accounts of a configuration into a table.
 * @module
 */
import { Buffer } from "node:buffer";
import { err, ok, type Result } from "neverthrow";
import { hashKey } from "./hash_key.ts";
import type { Account, AccountTable, KeyEntry } from "./state.ts";

/**
 * Maximum length of an API key, in bytes. Requests state it in a header, and
 * the headers of a request are limited to some tens of kilobytes.
 */
const MAX_KEY_BYTES = 4_096;

/** Maximum length of an account name, in bytes; endpoints get it in a header. */
const MAX_NAME_BYTES = 1_024;

/** Characters that can't be sent in a header. */
// deno-lint-ignore no-control-regex
const CONTROL_CHARACTERS = /[\u0000-\u001f\u007f]/;

/** An account with its API keys, as a configuration lists it. */
export interface ListedAccount {
  readonly account: Account;
  readonly keys: readonly string[];
}

/** Why a listed account is rejected. Contains no key. */
export interface AccountProblem {
  /** Position of the account in the list. */
  readonly index: number;
  /** Position of the key in the account. Undefined if no key is to blame. */
  readonly keyIndex?: number;
  readonly message: string;
}

/**
 * Returns the table of the listed accounts, or all that is wrong with them.
 *
 * Accounts and keys that are unchanged since the table `previous` are taken
 * from it, and so is the table if all are: hashing and indexing all keys takes
 * tens of milliseconds, in which calls wait.
 */
export function createAccountTable(
  listed: readonly ListedAccount[],
  previous: AccountTable | undefined,
): Result<AccountTable, readonly AccountProblem[]> {
  if (previous !== undefined && isUnchanged(listed, previous)) {
    return ok(previous);
  }
  const byKey = new Map<string, KeyEntry>();
  const byName = new Map<string, Account>();
  const keyHashes = new Set<number>();
  const problems: AccountProblem[] = [];
  for (const [index, { account: decoded, keys }] of listed.entries()) {
    const { name } = decoded;
    const message = findNameProblem(name) ??
      (byName.has(name) ? `two accounts have the name ${name}` : undefined);
    if (message !== undefined) {
      problems.push({ index, message });
      continue;
    }
    const known = previous?.byName.get(name);
    const account = known !== undefined && isSameAccount(known, decoded)
      ? known
      : decoded;
    byName.set(name, account);
    for (const [keyIndex, key] of keys.entries()) {
      const owner = byKey.get(key)?.account;
      if (owner === account) continue;
      const keyMessage = owner === undefined
        ? findKeyProblem(name, key)
        : `accounts ${owner.name} and ${name} have the same key`;
      if (keyMessage !== undefined) {
        problems.push({ index, keyIndex, message: keyMessage });
        continue;
      }
      const entry = entryOf(key, account, previous?.byKey.get(key));
      byKey.set(key, entry);
      keyHashes.add(entry.keyHash);
    }
  }
  return problems.length > 0 ? err(problems) : ok({ byKey, byName, keyHashes });
}

function findNameProblem(name: string): string | undefined {
  if (name.trim() === "") return "an account has no name";
  if (Buffer.byteLength(name) > MAX_NAME_BYTES) {
    return `the name of an account has over ${MAX_NAME_BYTES} B`;
  }
  return CONTROL_CHARACTERS.test(name)
    ? "the name of an account has control characters"
    : undefined;
}

function findKeyProblem(name: string, key: string): string | undefined {
  if (key === "") return `${name}: a key is empty`;
  return Buffer.byteLength(key) > MAX_KEY_BYTES
    ? `${name}: a key has over ${MAX_KEY_BYTES} B`
    : undefined;
}

function entryOf(
  key: string,
  account: Account,
  known: KeyEntry | undefined,
): KeyEntry {
  if (known === undefined) return { account, keyHash: hashKey(key) };
  return known.account === account
    ? known
    : { account, keyHash: known.keyHash };
}

/**
 * Whether the list is the one that `previous` was compiled from, in the same
 * order. Compares in order, without a lookup for each key.
 */
function isUnchanged(
  listed: readonly ListedAccount[],
  previous: AccountTable,
): boolean {
  if (listed.length !== previous.byName.size) return false;
  const accounts = previous.byName.values();
  const entries = previous.byKey.entries();
  for (const { account, keys } of listed) {
    const known = accounts.next().value;
    if (known === undefined || known.name !== account.name) return false;
    if (!isSameAccount(known, account)) return false;
    for (const key of keys) {
      const [knownKey, entry] = entries.next().value ?? [];
      if (knownKey !== key || entry?.account !== known) return false;
    }
  }
  return entries.next().done === true;
}

function isSameAccount(a: Account, b: Account): boolean {
  return a.urgency === b.urgency &&
    a.allowance?.perSecond === b.allowance?.perSecond &&
    a.allowance?.burst === b.allowance?.burst;
}
