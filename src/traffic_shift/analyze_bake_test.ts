import { test } from "node:test";
import assert from "node:assert/strict";
import { LATENCY_EDGES_MS, Side } from "../rollout/messages.ts";
import {
  EXPOSURE_LIMIT,
  SHIFT_ORDER,
  simulateFleet,
} from "../testing/simulate_shifts.ts";
import { chooseVersions } from "./choose_version.ts";
import { countRun } from "./count_run.ts";
import { decideTrafficShift } from "./decide_traffic_shift.ts";
import { createTrafficShiftState, ShiftPhase } from "./state.ts";

test("version that fails after it has taken over is rolled back", () => {
  const onsetMs = 14_200;
  const { phases, lastAt } = simulateFleet({
    untilMs: 25_000,
    isFailed: (_, now, n) => now >= onsetMs && n % 8 < 4,
  });
  assert.deepEqual(phases, [
    ShiftPhase.Running,
    ShiftPhase.Completed,
    ShiftPhase.RolledBack,
  ]);
  assert.ok(lastAt < onsetMs + 5_000, `last at ${lastAt}`);
});

test("one failing endpoint does not stop a version that has taken over", () => {
  const { phases, lastAt } = simulateFleet({
    untilMs: 25_000,
    isFailed: (home, now) => now >= 14_200 && home === 1,
  });
  assert.equal(phases.at(-1), ShiftPhase.Completed);
  assert.equal(lastAt, 25_000);
});

test("failures after the bake time do not roll the version back", () => {
  const { phases } = simulateFleet({
    untilMs: 40_000,
    isFailed: (_, now, n) => now >= 24_000 && n % 8 < 4,
  });
  assert.equal(phases.at(-1), ShiftPhase.Completed);
});

test("node restarted after the end of a shift does not analyze it again", () => {
  const state = createTrafficShiftState({ self: "a", source: "a 2" });
  const status = { service: "one", target: "v2", phase: ShiftPhase.Completed };
  decideTrafficShift(state, {
    type: "ordered",
    order: SHIFT_ORDER,
    isNew: false,
    now: 0,
  });
  decideTrafficShift(state, { type: "status-read", status, now: 50 });
  decideTrafficShift(state, { type: "leased", epoch: 9 });
  const run = { service: "one", version: "v2", route: "a", tookMs: 60 };
  for (let now = 100; now <= 10_000; now += 100) {
    for (let n = 0; n < 10; n++) {
      countRun(state, { ...run, isFailed: true, hasNestedFailure: false });
    }
    const report = {
      service: "one",
      target: "v2",
      source: "b 2",
      seq: now,
      elapsed: { ms: 0, isKnown: false },
      counts: [{
        side: Side.New,
        route: "a",
        calls: now / 10,
        failures: now / 10,
        overdue: 0,
        buckets: new Array<number>(LATENCY_EDGES_MS.length + 1).fill(0),
      }],
    };
    decideTrafficShift(state, { type: "report-received", report, now });
    const effects = decideTrafficShift(state, {
      type: "ticked",
      now,
      rank: 0,
      exposure: EXPOSURE_LIMIT,
      loadOf: () => ({ ready: 2, calls: 0, otherReady: 0, otherCalls: 0 }),
    });
    assert.deepEqual(effects, []);
  }
  assert.deepEqual(chooseVersions(state, "one", ["v2"]), ["v2"]);
});
