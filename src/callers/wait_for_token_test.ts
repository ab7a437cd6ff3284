import { test } from "node:test";
import assert from "node:assert/strict";
import type { AllowanceResult } from "../sidecar/create_allowance_service.ts";
import { waitForToken } from "./wait_for_token.ts";

/** Starts a request whose quota the test decides. */
function startWait(account: string | undefined) {
  const seen: string[] = [];
  let decide: (result: AllowanceResult) => void = () => {};
  const waiting = waitForToken({
    ctx: { admitAccount: (_account, onResult) => void (decide = onResult) },
    account,
    onAdmitted: () => seen.push("admitted"),
    onRefused: (waitMs) => seen.push(`refused ${waitMs}`),
    onStopped: () => seen.push("stopped"),
  });
  const giveBack = () => seen.push("given back");
  return {
    seen,
    waiting,
    admit: () => decide({ type: "admitted", giveBack }),
    refuse: () => decide({ type: "refused", waitMs: 40 }),
  };
}

test("request without an account is served at once", () => {
  const { seen, waiting } = startWait(undefined);
  assert.equal(waiting, undefined);
  assert.deepEqual(seen, ["admitted"]);
});

test("request over the quota is refused with the wait", () => {
  const wait = startWait("baker");
  wait.refuse();
  assert.deepEqual(wait.seen, ["refused 40"]);
});

// The token of a caller that has left would be lost to the account.
test("token of a caller that left is given back", () => {
  const wait = startWait("baker");
  wait.waiting?.abandon();
  wait.admit();
  assert.deepEqual(wait.seen, ["given back"]);
});

// The caller would get two answers.
test("request that waits at shutdown is answered once", () => {
  const wait = startWait("baker");
  wait.waiting?.refuseUnsent();
  wait.refuse();
  assert.deepEqual(wait.seen, ["stopped"]);
});
