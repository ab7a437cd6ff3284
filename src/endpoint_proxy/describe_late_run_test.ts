import { test } from "node:test";
import assert from "node:assert/strict";
import { describeLateRun } from "./describe_late_run.ts";

const call = { id: "r-1", route: "a", objectiveLeftMs: 100 };

test("a late run is split into its wait and its run", () => {
  const late = describeLateRun({
    call,
    arrivedAt: 10,
    startedAt: 70,
    pacePercent: 250,
    now: 120,
  });
  assert.deepEqual(late, {
    callId: "r-1",
    route: "a",
    waitedMs: 60,
    ranMs: 50,
    aimLeftMs: 100,
    pacePercent: 250,
  });
});

test("a run within its latency objective is not late", () => {
  const times = { arrivedAt: 10, startedAt: 70, now: 110 };
  assert.equal(describeLateRun({ call, ...times }), undefined);
});
