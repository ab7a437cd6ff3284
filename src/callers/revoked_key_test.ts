import { request } from "node:http";
import { test, type TestContext } from "node:test";
import assert from "node:assert/strict";
import { createAccountTable } from "../accounts/create_account_table.ts";
import { RefusedBy } from "../calls/state.ts";
import { RefusalReason } from "../queue/state.ts";
import { adoptTable } from "../routes/adopt_table.ts";
import {
  CALLER_HOST,
  startTestCallers,
  type TestCallers,
} from "../testing/start_test_callers.ts";
import { waitFor } from "../../tools/wait_for.ts";

const LIMIT_MS = 60_000;

function adoptKeys(callers: TestCallers, version: number, keys: string[]) {
  const { table } = callers.ctx.routes;
  assert.ok(table);
  const account = { name: "baker", urgency: 2, allowance: undefined };
  const accounts = createAccountTable([{ account, keys }], table.accounts)
    ._unsafeUnwrap();
  adoptTable(callers.ctx.routes, { ...table, version, accounts });
  callers.recheckUnsentCalls();
}

/** Makes a call with one of two keys, and waits until it is waiting or sent. */
async function startCall(t: TestContext, homes: readonly string[]) {
  const callers = await startTestCallers(t);
  for (const home of homes) callers.addHome(home);
  adoptKeys(callers, 2, ["k-1", "k-2"]);
  const status = new Promise<number | undefined>((resolve, reject) => {
    const headers = { host: CALLER_HOST, "call-id": "c-1", "wait-ms": "60000" };
    request({
      port: callers.port,
      path: "/x",
      agent: false,
      headers: { ...headers, key: "k-1" },
    }, (res) => {
      res.resume();
      resolve(res.statusCode);
    }).on("error", reject).end();
  });
  await waitFor({
    what: "the call waits or is sent",
    limitMs: LIMIT_MS,
    isTrue: () => callers.waiting() + callers.attempts.length > 0,
  });
  return { callers, status };
}

/** Lets the home of the first attempt refuse it. */
function refuseFirst(callers: TestCallers, reason: RefusalReason) {
  const refusal = { by: RefusedBy.Home, reason, waitMs: 0 };
  callers.attempts[0]?.emit({ type: "refused", refusal });
}

const HOMES = ["10.0.0.2:1", "10.0.0.3:1"];

test("unsent call is refused when its key is revoked", async (t) => {
  const { callers, status } = await startCall(t, []);
  adoptKeys(callers, 3, ["k-2"]);
  assert.equal(await status, 401);
  assert.equal(callers.attempts.length, 0);
});

test("unsent call whose key stays is sent with the new version", async (t) => {
  const { callers, status } = await startCall(t, []);
  adoptKeys(callers, 3, ["k-1"]);
  callers.addHome("10.0.0.2:1");
  callers.reportLink();
  const [attempt] = callers.attempts;
  assert.equal(attempt?.call.account?.name, "baker");
  assert.equal(attempt.call.account.tableVersion, 3);
  const head = { status: 200, headers: [] };
  attempt.emit({ type: "answered", head, body: Buffer.alloc(0) });
  assert.equal(await status, 200);
});

// A hedge that was withheld for a revoked key let the next attempt pass.
test("refused call is not sent again after its key is revoked", async (t) => {
  const { callers, status } = await startCall(t, HOMES);
  adoptKeys(callers, 3, ["k-2"]);
  callers.attempts[0]?.emit({ type: "overdue" });
  refuseFirst(callers, RefusalReason.Closed);
  assert.equal(await status, 401);
  assert.equal(callers.attempts.length, 1);
});

test("call whose home found its key revoked is not sent again", async (t) => {
  const { callers, status } = await startCall(t, HOMES);
  refuseFirst(callers, RefusalReason.Revoked);
  assert.equal(await status, 401);
  assert.equal(callers.attempts.length, 1);
});
