import { test } from "node:test";
import assert from "node:assert/strict";
import type { Rollout } from "../config_log/state.ts";
import {
  createRolloutFixture,
  START_WALL_MS,
} from "../testing/rollout_fixture.ts";
import { planStep, type PlanStepOptions, planTimes } from "./plan_step.ts";

const TAKE_OVER_BY = new Date(START_WALL_MS + 100_000).toISOString();

function rolloutAt(perMille: number, fields: Partial<Rollout> = {}): Rollout {
  const rollout = createRolloutFixture({ takeOverBy: TAKE_OVER_BY }).rollout();
  return { ...rollout, perMille, phase: "shifting", ...fields };
}

const CLEAR = { type: "clear", calls: 500 } as const;
const UNCLEAR = { type: "unclear", isSuspect: false, calls: 3 } as const;

function plan(
  rollout: Rollout,
  analysis: PlanStepOptions["analysis"],
  stageMs: number,
  leftMs = 90_000,
) {
  const wall = START_WALL_MS + 100_000 - leftMs;
  return planStep({ rollout, analysis, stageMs, wall });
}

test("first share is 2%", () => {
  const step = plan(rolloutAt(0, { phase: "pending" }), UNCLEAR, 0);
  assert.ok(step?.type === "share");
  assert.equal(step.perMille, 20);
});

test("clear version gets the next share after the minimum time", () => {
  const step = plan(rolloutAt(20), CLEAR, 2_000);
  assert.ok(step?.type === "share");
  assert.equal(step.perMille, 100);
  assert.match(step.reason, /^500 calls at 2% rule out 20% .*90 s left\.$/);
  assert.equal(plan(rolloutAt(20), CLEAR, 1_000), undefined);
});

test("unclear version gets the next share when its time slot is over", () => {
  const rollout = rolloutAt(20);
  const { slotMs } = planTimes(rollout, START_WALL_MS + 10_000);
  assert.equal(plan(rollout, UNCLEAR, slotMs - 1), undefined);
  const step = plan(rollout, UNCLEAR, slotMs);
  assert.equal(step?.type, "share");
  assert.match(step?.reason ?? "", /3 calls at 2% are too few .* to proceed/);
});

test("unclear version blocks if the entry says hold", () => {
  const rollout = rolloutAt(20, { whenUnjudged: "hold" });
  assert.equal(plan(rollout, UNCLEAR, 50_000, 40_000), undefined);
  const step = plan(rollout, UNCLEAR, 70_000, 20_000);
  assert.equal(step?.type, "block");
  assert.match(step?.reason ?? "", /says to hold, so the share stays at 2%/);
  const blocked = { ...rollout, phase: "blocked" } as const;
  assert.equal(plan(blocked, UNCLEAR, 70_000, 20_000), undefined);
  assert.equal(plan(blocked, CLEAR, 70_000, 20_000)?.type, "share");
});

test("suspect version gets no step", () => {
  const suspect = { ...UNCLEAR, isSuspect: true };
  assert.equal(plan(rolloutAt(20), suspect, 90_000, 5_000), undefined);
});

test("rollout is done only after the bake time", () => {
  const rollout = rolloutAt(1_000, { phase: "baking" });
  assert.equal(plan(rollout, CLEAR, 5_000), undefined);
  assert.equal(plan(rollout, CLEAR, 15_000)?.type, "done");
  assert.equal(plan(rollout, UNCLEAR, 15_000), undefined);
  assert.equal(plan(rollout, UNCLEAR, 60_000, 9_000)?.type, "done");
});

test("plan fits the requested time", () => {
  const { slotMs, bakeMs, spareMs } = planTimes(rolloutAt(0), START_WALL_MS);
  assert.ok(5 * slotMs + bakeMs + spareMs <= 100_001);
});
