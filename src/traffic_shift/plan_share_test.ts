import { test } from "node:test";
import assert from "node:assert/strict";
import { EXPOSURE_LIMIT } from "../testing/simulate_shifts.ts";
import { mayComplete } from "./plan_share.ts";
import { sumRuns } from "./sum_runs.ts";

test("completion is recorded earlier if the store is slow", () => {
  const plan = {
    share: 1,
    durationMs: 10_000,
    analysis: { type: "clear", calls: 500 },
    runs: sumRuns(new Map()),
    ratePerMs: 0.3,
    exposure: EXPOSURE_LIMIT,
    stageRuns: 100,
    otherCalls: 0,
  } as const;
  const at = (stageMs: number, storeMs: number) =>
    mayComplete({ ...plan, stageMs, elapsedMs: 9_000 + stageMs, storeMs });
  assert.equal(at(250, 5), false);
  assert.equal(at(500, 5), true);
  assert.equal(at(150, 500), false);
  assert.equal(at(250, 500), true);
});
