import { test } from "node:test";
import assert from "node:assert/strict";
import { createShutdownState } from "../shutdown/create_shutdown_state.ts";
import { admitRequest } from "./admit_request.ts";

function admit(change: object) {
  return admitRequest({
    waitedMs: 0,
    isNested: false,
    waitMs: 1_000,
    stop: undefined,
    now: 10_000,
    ...change,
  });
}

test("an overloaded node rejects clients but not nested calls", () => {
  assert.equal(admit({}), undefined);
  assert.equal(admit({ waitedMs: 100 }), undefined);
  assert.ok(admit({ waitedMs: 400 }));
  assert.equal(admit({ waitedMs: 400, isNested: true }), undefined);
  assert.ok(admit({ waitedMs: 400, isNested: true, waitMs: -1 }));
});

test("a node in shutdown accepts requests it can finish", () => {
  const stop = createShutdownState({ graceMs: 6_200, lagMs: 0, now: 7_500 });
  assert.equal(admit({ stop, now: 9_000, waitMs: 9_000 }), undefined);
  assert.ok(admit({ stop, now: 10_000, waitMs: 9_000 }));
  assert.equal(admit({ stop, now: 10_000 }), undefined);
  assert.equal(admit({ stop, now: 11_500 }), undefined);
  assert.ok(admit({ stop, now: 12_500 }));
});

test("a nested call that would be aborted by the exit is rejected", () => {
  const stop = createShutdownState({ graceMs: 6_200, lagMs: 0, now: 7_500 });
  assert.ok(admit({ stop, now: 12_500, isNested: true }));
});
