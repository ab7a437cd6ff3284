import { test } from "node:test";
import assert from "node:assert/strict";
import { deadlineRatioOf } from "./deadline_ratio_of.ts";

const route = { objectiveMs: 800, timeoutMs: 2_500 };
const unknown = { parentRatio: undefined, callerWaitMs: undefined, ageMs: 0 };

test("the caller's deadline counts, not the route's timeout", () => {
  assert.equal(deadlineRatioOf({ ...unknown, route, callerWaitMs: 4_800 }), 6);
  assert.equal(deadlineRatioOf({ ...unknown, route }), 3.125);
});

test("a retry has the ratio of its first request", () => {
  const retry = { ...unknown, route, callerWaitMs: 2_000, ageMs: 2_400 };
  assert.equal(deadlineRatioOf(retry), 5.5);
});

test("a nested call has its parent's ratio", () => {
  const nested = { ...unknown, route, parentRatio: 6, callerWaitMs: 1_000 };
  assert.equal(deadlineRatioOf(nested), 6);
});
