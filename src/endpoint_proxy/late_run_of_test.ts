import { test } from "node:test";
import assert from "node:assert/strict";
import { lateRunOf } from "./late_run_of.ts";

const call = { id: "r-1", route: "a", aimLeftMs: 100 };

test("a late run tells its wait from its run", () => {
  const late = lateRunOf({ call, offeredAt: 10, startedAt: 70, now: 120 });
  assert.deepEqual(late, {
    callId: "r-1",
    route: "a",
    waitedMs: 60,
    ranMs: 50,
    aimLeftMs: 100,
  });
});

test("a run within its aim is not late", () => {
  const times = { offeredAt: 10, startedAt: 70, now: 110 };
  assert.equal(lateRunOf({ call, ...times }), undefined);
});
