import { test } from "node:test";
import assert from "node:assert/strict";
import type { Rollout } from "../config_log/state.ts";
import {
  createRolloutFixture,
  START_WALL_MS,
} from "../testing/rollout_fixture.ts";
import { planStep, type PlanStepOptions, planTimes } from "./plan_step.ts";

const takeOverBy = new Date(START_WALL_MS + 100_000).toISOString();

function rolloutAt(perMille: number, fields: Partial<Rollout> = {}): Rollout {
  const rollout = createRolloutFixture({ takeOverBy }).rollout();
  return { ...rollout, perMille, phase: "shifting", ...fields };
}

const clear = { type: "clear", calls: 500 } as const;
const unclear = { type: "unclear", isSuspect: false, calls: 3 } as const;

function plan(
  rollout: Rollout,
  judgement: PlanStepOptions["judgement"],
  stageMs: number,
  leftMs = 90_000,
) {
  const wall = START_WALL_MS + 100_000 - leftMs;
  return planStep({ rollout, judgement, stageMs, wall });
}

test("first share is 2%", () => {
  const step = plan(rolloutAt(0, { phase: "pending" }), unclear, 0);
  assert.ok(step?.type === "share");
  assert.equal(step.perMille, 20);
});

test("clear version moves on at once", () => {
  const step = plan(rolloutAt(20), clear, 2_000);
  assert.ok(step?.type === "share");
  assert.equal(step.perMille, 100);
  assert.match(step.reason, /^500 calls at 2% rule out 20% .*90 s left\.$/);
  assert.equal(plan(rolloutAt(20), clear, 1_000), undefined);
});

test("unjudged version proceeds when its slot is over", () => {
  const rollout = rolloutAt(20);
  const { slotMs } = planTimes(rollout, START_WALL_MS + 10_000);
  assert.equal(plan(rollout, unclear, slotMs - 1), undefined);
  const step = plan(rollout, unclear, slotMs);
  assert.equal(step?.type, "share");
  assert.match(step?.reason ?? "", /3 calls at 2% are too few .* to proceed/);
});

test("unjudged version is held where the entry says so", () => {
  const rollout = rolloutAt(20, { whenUnjudged: "hold" });
  assert.equal(plan(rollout, unclear, 50_000, 40_000), undefined);
  const step = plan(rollout, unclear, 70_000, 20_000);
  assert.equal(step?.type, "block");
  assert.match(step?.reason ?? "", /says to hold, so the share stays at 2%/);
  const blocked = { ...rollout, phase: "blocked" } as const;
  assert.equal(plan(blocked, unclear, 70_000, 20_000), undefined);
  assert.equal(plan(blocked, clear, 70_000, 20_000)?.type, "share");
});

test("suspect version waits", () => {
  const suspect = { ...unclear, isSuspect: true };
  assert.equal(plan(rolloutAt(20), suspect, 90_000, 5_000), undefined);
});

test("bake is watched before done", () => {
  const rollout = rolloutAt(1_000, { phase: "baking" });
  assert.equal(plan(rollout, clear, 5_000), undefined);
  assert.equal(plan(rollout, clear, 15_000)?.type, "done");
  assert.equal(plan(rollout, unclear, 15_000), undefined);
  assert.equal(plan(rollout, unclear, 60_000, 9_000)?.type, "done");
});

test("slots fit the time asked", () => {
  const { slotMs, bakeMs, spareMs } = planTimes(rolloutAt(0), START_WALL_MS);
  assert.ok(5 * slotMs + bakeMs + spareMs <= 100_001);
});
