/**
 * Finds out at a home node whether the API key of a call was revoked.
 * @module
 */
import type { RouteTable } from "../routes/state.ts";
import type { CallAccount } from "./state.ts";

/**
 * Whether `table` is newer than the one that the key was checked with, and
 * lacks the key. An older table proves nothing: the key may be a new one.
 */
export function isKeyRevoked(
  account: CallAccount | undefined,
  table: RouteTable | undefined,
): boolean {
  if (account === undefined || table?.accounts === undefined) return false;
  return table.version > account.tableVersion &&
    !table.accounts.keyHashes.has(account.keyHash);
}
