import { test } from "node:test";
import assert from "node:assert/strict";
import { createAccountTable } from "../accounts/create_account_table.ts";
import { hashKey } from "../accounts/hash_key.ts";
import { RefusalReason } from "../queue/state.ts";
import type { RouteTable } from "../routes/state.ts";
import { ANNOUNCED_INSTANCE } from "../testing/announced_instance.ts";
import { createRawEndpoint } from "../testing/create_raw_endpoint.ts";
import { createTestHome } from "../testing/create_test_home.ts";
import { offeredCall } from "../testing/offered_call.ts";
import { tableOf } from "../testing/route_tables.ts";

function tableWith(version: number, keys: string[]): RouteTable {
  const account = { name: "baker", urgency: 0, allowance: undefined };
  const accounts = createAccountTable([{ account, keys }], undefined);
  return {
    ...tableOf(version, { "/": "one" }),
    accounts: accounts._unsafeUnwrap(),
  };
}

// A call that waited for a slot ran at the endpoint after its key was revoked.
test("waiting call whose key is revoked does not start", async (t) => {
  let table = tableWith(1, ["k-1", "k-2"]);
  const ended: string[] = [];
  const endpoint = await createRawEndpoint(t, ({ socket, callId }) => {
    table = tableWith(2, ["k-2"]);
    // The second call waits for the only slot by now, since both came at once.
    socket.write(
      `HTTP/1.1 200 OK\r\ncall-id: ${callId}\r\ncontent-length: 0\r\n\r\n`,
    );
  });
  const home = createTestHome(t, {
    address: endpoint.address,
    table: () => table,
  });
  home.setInstance({ ...ANNOUNCED_INSTANCE, slots: 1 }, "");
  const attempt = (id: string, key: string) =>
    new Promise<void>((resolve) => {
      const keyHash = hashKey(key);
      const account = { name: "baker", urgency: 0, keyHash, tableVersion: 1 };
      const headers = ["call-id", id];
      const call = offeredCall({ id, headers, account, mayBeLate: true });
      home.attempt(call, (event) => {
        if (event.type === "admitted") return;
        const isRefused = event.type === "refused";
        ended.push(`${id} ${isRefused ? event.refusal.reason : event.type}`);
        resolve();
      });
    });
  await Promise.all([attempt("r-0", "k-2"), attempt("r-1", "k-1")]);
  await attempt("r-2", "k-2");
  const { Revoked } = RefusalReason;
  assert.deepEqual(ended.toSorted(), [
    "r-0 answered",
    `r-1 ${Revoked}`,
    "r-2 answered",
  ]);
  const ran = endpoint.requests.map(({ callId }) => callId);
  assert.deepEqual(ran, ["r-0", "r-2"]);
});
