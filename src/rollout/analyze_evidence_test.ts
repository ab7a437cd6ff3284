import { test } from "node:test";
import assert from "node:assert/strict";
import { createAnalysisState } from "./create_track.ts";
import { countsOf } from "./count_call.ts";
import { analyzeEvidence } from "./analyze_evidence.ts";
import type { AnalysisResult, AnalysisState, Evidence } from "./state.ts";

interface Sides {
  readonly calls: number;
  readonly failures?: number;
  readonly slow?: number;
  readonly oldCalls?: number;
  readonly oldFailures?: number;
}

function addCalls(evidence: Evidence, route: string, sides: Sides) {
  const { calls, failures = 0, slow = 0 } = sides;
  const newCounts = countsOf(evidence, "new", route);
  newCounts.calls += calls;
  newCounts.failures += failures;
  newCounts.buckets[2] = (newCounts.buckets[2] ?? 0) + calls - slow;
  newCounts.buckets[7] = (newCounts.buckets[7] ?? 0) + slow;
  const old = countsOf(evidence, "old", route);
  old.calls += sides.oldCalls ?? 100;
  old.failures += sides.oldFailures ?? 0;
  old.buckets[2] = (old.buckets[2] ?? 0) + (sides.oldCalls ?? 100);
}

function analyzeTicks(
  ticks: readonly Sides[],
  route = "accounts",
): AnalysisResult {
  const state: AnalysisState = createAnalysisState(0);
  const evidence: Evidence = new Map();
  let analysis: AnalysisResult = {
    type: "unclear",
    isSuspect: false,
    calls: 0,
  };
  ticks.forEach((sides, index) => {
    addCalls(evidence, route, sides);
    analysis = analyzeEvidence({
      state: state,
      evidence,
      faultyAbove: Math.log(1e4),
      ruleOut: 0.2,
      now: index * 1_000,
    });
  });
  return analysis;
}

const repeat = <T>(count: number, one: T) => new Array<T>(count).fill(one);

test("failures of the new version alone are a fault", () => {
  const analysis = analyzeTicks(repeat(5, { calls: 2, failures: 2 }));
  assert.equal(analysis.type, "faulty");
});

test("failures of both versions are not a fault", () => {
  const analysis = analyzeTicks(
    repeat(30, { calls: 10, failures: 3, oldFailures: 30 }),
  );
  assert.notEqual(analysis.type, "faulty");
});

test("slow answers are a fault", () => {
  const analysis = analyzeTicks([
    { calls: 0 },
    ...repeat(5, { calls: 4, slow: 4 }),
  ]);
  assert.ok(analysis.type === "faulty");
  assert.equal(analysis.finding.measure, "slowness");
});

test("late fault is not diluted by earlier calls", () => {
  const good = repeat(200, { calls: 100 });
  const analysis = analyzeTicks([
    ...good,
    ...repeat(2, { calls: 100, failures: 30 }),
  ]);
  assert.equal(analysis.type, "faulty");
});

test("good calls clear the version", () => {
  assert.equal(analyzeTicks(repeat(2, { calls: 2 })).type, "unclear");
  assert.equal(analyzeTicks(repeat(20, { calls: 2 })).type, "clear");
});

test("fault on one small route is found", () => {
  const state = createAnalysisState(0);
  const evidence: Evidence = new Map();
  let analysis: AnalysisResult | undefined;
  for (let now = 0; now < 10_000; now += 1_000) {
    addCalls(evidence, "accounts", { calls: 40 });
    addCalls(evidence, "renewals", { calls: 1, failures: 1, oldCalls: 5 });
    const faultyAbove = Math.log(1e4);
    const opts = { state, evidence, faultyAbove, ruleOut: 0.2, now };
    analysis = analyzeEvidence(opts);
  }
  assert.ok(analysis?.type === "faulty");
  assert.equal(analysis.finding.route, "renewals");
});
