import { test } from "node:test";
import assert from "node:assert/strict";
import { routeOf, tableOf } from "../testing/route_tables.ts";
import { checkKey, type CheckKeyOptions, Parent } from "./check_key.ts";
import { createAccountTable } from "./create_account_table.ts";
import { hashKey } from "./hash_key.ts";
import { isKeyRevoked } from "./is_key_revoked.ts";
import type { AccountTable, StatedKey } from "./state.ts";

const listed = (name: string, keys: string[], urgency = 0) => ({
  account: { name, urgency, allowance: undefined },
  keys,
});
const accountsOf = (key: string, previous?: AccountTable) =>
  createAccountTable([listed("baker", [key, "k-2"], 2)], previous)
    ._unsafeUnwrap();
const tableWith = (version: number, accounts: AccountTable | undefined) => ({
  ...tableOf(version, { "/": "one" }),
  accounts,
});
const one = (key: string): StatedKey => ({ type: "one", key });

test("keys of requests are checked", () => {
  const table = tableWith(7, accountsOf("k-1"));
  const check = (change: Partial<CheckKeyOptions>) => {
    const key = { type: "none" } as const;
    const route = routeOf({ name: "r" });
    const parent = Parent.None;
    const result = checkKey({ table, route, key, parent, ...change });
    return result.type === "unknown-key" ? result.fault : result.type;
  };
  const route = routeOf({ name: "open", isAnonymous: true });
  const parent = Parent.RunsHere;
  assert.equal(check({ key: one("k-1") }), "account");
  assert.equal(check({ key: one("k-3") }), "unknown");
  assert.equal(check({ key: one("") }), "unknown");
  assert.equal(check({ key: one("k-3"), parent }), "unknown");
  assert.equal(check({ key: { type: "several" } }), "several");
  assert.equal(check({}), "missing");
  assert.equal(check({ route: undefined }), "missing");
  assert.equal(check({ parent }), "no-account");
  assert.equal(check({ parent: Parent.Unknown }), "unknown-parent");
  assert.equal(check({ route }), "no-account");
  assert.equal(check({ route, key: one("k-3") }), "no-account");
  assert.equal(check({ table: tableWith(7, undefined) }), "no-account");
  assert.equal(check({ table: undefined, key: one("k-1") }), "no-table");
});

test("only a newer table without the key revokes it", () => {
  const keyHash = hashKey("k-1");
  assert.ok(keyHash < 2 ** 48);
  const account = { name: "baker", urgency: 2, keyHash, tableVersion: 5 };
  const isRevoked = (version: number, accounts: AccountTable | undefined) =>
    isKeyRevoked(account, tableWith(version, accounts));
  assert.ok(isRevoked(6, accountsOf("k-9")));
  assert.ok(!isRevoked(6, accountsOf("k-1")));
  assert.ok(!isRevoked(4, accountsOf("k-9")));
  assert.ok(!isRevoked(6, undefined));
});

test("unchanged accounts and keys are reused", () => {
  const first = accountsOf("k-1");
  const second = accountsOf("k-9", first);
  assert.equal(second.byName.get("baker"), first.byName.get("baker"));
  assert.equal(second.byKey.get("k-2"), first.byKey.get("k-2"));
  assert.equal(second.byKey.get("k-1"), undefined);
  assert.equal(accountsOf("k-9", second), second);
  const list = [listed("baker", ["k-2"], 3)];
  const changed = createAccountTable(list, second)._unsafeUnwrap();
  assert.equal(changed.byKey.get("k-2")?.account.urgency, 3);
  assert.deepEqual([...changed.keyHashes], [hashKey("k-2")]);
});
