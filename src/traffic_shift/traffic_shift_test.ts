import { test } from "node:test";
import assert from "node:assert/strict";
import {
  createLeader,
  EXPOSURE_LIMIT,
  PRESENT_VERSIONS,
  SHIFT_ORDER,
  simulateShift,
  tickOf,
} from "../testing/simulate_shifts.ts";
import { chooseVersions } from "./choose_version.ts";
import { countRun } from "./count_run.ts";
import { decideTrafficShift } from "./decide_traffic_shift.ts";
import { createTrafficShiftState, ShiftPhase } from "./state.ts";

test("version without a fault is completed shortly before its deadline", () => {
  const { records } = simulateShift(createLeader(), { untilMs: 14_000 });
  assert.equal(records[0]?.phase, ShiftPhase.Running);
  assert.equal(records[1]?.phase, ShiftPhase.Completed);
  const leftMs = SHIFT_ORDER.durationMs - (records[1]?.at ?? Infinity);
  assert.ok(leftMs >= 300 && leftMs <= 600, `${leftMs} ms before`);
});

for (const perSecond of [2, 20, 100, 600]) {
  for (const durationMs of [6_000, 8_000, 16_000, 30_000]) {
    test(`${perSecond} requests per second shift within ${durationMs} ms`, () => {
      const state = createLeader({ ...SHIFT_ORDER, durationMs });
      let due = 0;
      const { counts, records } = simulateShift(state, {
        untilMs: durationMs,
        perTick: () => {
          due += perSecond / 10;
          const requests = Math.floor(due);
          due -= requests;
          return requests;
        },
      });
      assert.equal(records.at(-1)?.phase, ShiftPhase.Completed);
      const onTarget = counts.get("v2") ?? 0;
      const total = onTarget + (counts.get("v1") ?? 0);
      assert.ok(
        onTarget <= EXPOSURE_LIMIT.share * total + EXPOSURE_LIMIT.slack,
      );
    });
  }
}

for (
  const [name, isFailed] of [
    ["from the start", () => true],
    ["after 3 s", (_: string, now: number) => now > 3_000],
    ["in a fifth of its runs", (_: string, __: number, n: number) => n < 4],
  ] as const
) {
  test(`version that fails ${name} is rolled back`, () => {
    const state = createLeader();
    const { counts, records } = simulateShift(state, {
      untilMs: 14_000,
      isFailed: (version, now, n) => version === "v2" && isFailed("", now, n),
    });
    assert.equal(records.at(-1)?.phase, ShiftPhase.RolledBack);
    const total = (counts.get("v1") ?? 0) + (counts.get("v2") ?? 0);
    assert.ok((counts.get("v2") ?? 0) < 0.1 * total + 50);
    assert.deepEqual(chooseVersions(state, "one", PRESENT_VERSIONS), ["v1"]);
  });
}

test("version that is several times slower is rolled back", () => {
  const { records } = simulateShift(createLeader(), {
    untilMs: 14_000,
    tookMs: (version, _, n) => version === "v2" && n % 2 === 0 ? 500 : 60,
  });
  assert.equal(records.at(-1)?.phase, ShiftPhase.RolledBack);
});

test("slower runs under the full share's load are not a fault", () => {
  const state = createLeader();
  const shareOf = () => state.shifts.get("one")?.step.share ?? 0;
  const { records } = simulateShift(state, {
    untilMs: 14_000,
    // A third of the runs takes twice as long under the full share's load.
    tookMs: (_, __, n) => shareOf() === 1 && n % 3 === 0 ? 160 : 80,
  });
  assert.equal(records.at(-1)?.phase, ShiftPhase.Completed);
});

test("version that is many times slower at the full share is rolled back", () => {
  const state = createLeader();
  const shareOf = () => state.shifts.get("one")?.step.share ?? 0;
  const { records } = simulateShift(state, {
    untilMs: 14_000,
    tookMs: (_, __, n) => shareOf() === 1 && n % 2 === 0 ? 600 : 80,
  });
  assert.equal(records.at(-1)?.phase, ShiftPhase.RolledBack);
});

test("fault that appears only under load is found at the ramp share", () => {
  const state = createLeader();
  const { counts, records } = simulateShift(state, {
    untilMs: 14_000,
    isFailed: (version, _, n) =>
      version === "v2" && n % 2 === 0 &&
      (state.shifts.get("one")?.step.share ?? 0) >= 0.2,
  });
  assert.equal(records.at(-1)?.phase, ShiftPhase.RolledBack);
  const total = (counts.get("v1") ?? 0) + (counts.get("v2") ?? 0);
  assert.ok((counts.get("v2") ?? 0) < 0.1 * total + 50);
});

test("new version gets no requests before a traffic shift to it is ordered", () => {
  const state = createTrafficShiftState({ self: "a", source: "a 1" });
  assert.deepEqual(chooseVersions(state, "one", ["v1"]), ["v1"]);
  assert.deepEqual(chooseVersions(state, "one", ["v2", "v1"]), ["v1"]);
});

test("unordered version gets no requests once the old version is reachable again", () => {
  const state = createTrafficShiftState({ self: "a", source: "a 1" });
  assert.deepEqual(chooseVersions(state, "one", ["v1"]), ["v1"]);
  // The endpoints of the old version are unreachable for a moment.
  chooseVersions(state, "one", ["v2"]);
  assert.deepEqual(chooseVersions(state, "one", ["v2", "v1"]), ["v1"]);
});

test("unordered version gets no requests during a traffic shift", () => {
  const running = { ...SHIFT_ORDER, target: "v2" };
  for (const phase of [ShiftPhase.Running, ShiftPhase.RolledBack]) {
    const state = createTrafficShiftState({ self: "a", source: "a 1" });
    chooseVersions(state, "one", ["v1"]);
    const status = { service: "one", target: "v2", phase };
    decideTrafficShift(state, { type: "status-read", status, now: 0 });
    decideTrafficShift(state, {
      type: "ordered",
      order: running,
      isNew: true,
      now: 0,
    });
    const present = ["v1", "v2", "v3"];
    assert.deepEqual(chooseVersions(state, "one", present), ["v1"]);
  }
});

test("only a node with a rank requests the lease", () => {
  const state = createTrafficShiftState({ self: "a", source: "a 1" });
  decideTrafficShift(state, {
    type: "ordered",
    order: SHIFT_ORDER,
    isNew: true,
    now: 0,
  });
  const load = { ready: 2, calls: 0, otherReady: 2, otherCalls: 0 };
  const tick = (rank: number | undefined) =>
    decideTrafficShift(state, {
      type: "ticked",
      now: 1_000,
      rank,
      exposure: EXPOSURE_LIMIT,
      loadOf: () => load,
    });
  assert.deepEqual(tick(undefined), []);
  assert.deepEqual(tick(0), [{ type: "lease" }]);
});

test("step of an older lease is ignored", () => {
  const state = createTrafficShiftState({ self: "a", source: "a 1" });
  decideTrafficShift(state, {
    type: "ordered",
    order: SHIFT_ORDER,
    isNew: true,
    now: 0,
  });
  const receiveStep = (epoch: number, seq: number, share: number) =>
    decideTrafficShift(state, {
      type: "step-received",
      step: {
        service: "one",
        target: "v2",
        epoch,
        seq,
        phase: ShiftPhase.Running,
        share,
        elapsed: { ms: 0, isKnown: true },
      },
      now: 0,
    });
  receiveStep(2, 1, 0.05);
  receiveStep(1, 9, 1);
  assert.equal(state.shifts.get("one")?.step.share, 0.05);
  receiveStep(2, 2, 0.2);
  assert.equal(state.shifts.get("one")?.step.share, 0.2);
});

test("status read at start ends the traffic shift", () => {
  const state = createTrafficShiftState({ self: "a", source: "a 2" });
  const status = { service: "one", target: "v2", phase: ShiftPhase.RolledBack };
  decideTrafficShift(state, { type: "status-read", status, now: 0 });
  decideTrafficShift(state, {
    type: "ordered",
    order: SHIFT_ORDER,
    isNew: true,
    now: 0,
  });
  assert.deepEqual(chooseVersions(state, "one", PRESENT_VERSIONS), ["v1"]);
});

test("step and status carry the sums of runs", () => {
  const state = createLeader();
  const run = {
    service: "one",
    route: "a",
    hasNestedFailure: false,
    tookMs: 60,
  };
  countRun(state, { ...run, version: "v1", isFailed: false });
  countRun(state, { ...run, version: "v2", isFailed: true });
  const effects = decideTrafficShift(state, tickOf(0, 0));
  const runs = effects.flatMap((effect) => "runs" in effect ? effect.runs : []);
  const sums = {
    targetRuns: 1,
    targetFailures: 1,
    otherRuns: 1,
    otherFailures: 0,
  };
  assert.deepEqual(runs, [sums, sums]);
});

for (const onsetMs of [4_000, 8_000, 10_000, 12_000, 13_000]) {
  test(`fault from ${onsetMs} ms on is rolled back within the exposure limit`, () => {
    const { counts, records } = simulateShift(createLeader(), {
      untilMs: SHIFT_ORDER.durationMs,
      isFailed: (version, now, n) =>
        version === "v2" && now >= onsetMs && n % 2 === 0,
    });
    const bad = counts.get("v2") ?? 0;
    const total = bad + (counts.get("v1") ?? 0);
    assert.ok(
      bad <= EXPOSURE_LIMIT.share * total + EXPOSURE_LIMIT.slack,
      `${bad} of ${total}`,
    );
    assert.equal(records.at(-1)?.phase, ShiftPhase.RolledBack);
  });
}

test("failures of nested calls do not count as evidence against a version", () => {
  const { records } = simulateShift(createLeader(), {
    untilMs: SHIFT_ORDER.durationMs,
    isFailed: (version, _, n) => version === "v2" && n % 2 === 0,
    hasNestedFailure: true,
  });
  assert.equal(records.at(-1)?.phase, ShiftPhase.Completed);
});

test("rolled back version is not the old version of the next traffic shift", () => {
  const state = createLeader();
  simulateShift(state, {
    untilMs: 6_000,
    isFailed: (version) => version === "v2",
  });
  const next = { ...SHIFT_ORDER, target: "v3" };
  decideTrafficShift(state, {
    type: "ordered",
    order: next,
    isNew: true,
    now: 6_000,
  });
  assert.deepEqual(chooseVersions(state, "one", ["v1", "v2", "v3"]), ["v1"]);
});

test("slow runs while nodes warm up are not a fault", () => {
  const state = createLeader();
  const shift = state.shifts.get("one");
  assert.ok(shift);
  const isWarming = (now: number) =>
    (shift.step.share ?? 0) >= 0.25 && now - shift.stepAt < 200;
  const { records } = simulateShift(state, {
    untilMs: 14_000,
    tookMs: (version, now) => version === "v2" && isWarming(now) ? 300 : 60,
  });
  assert.equal(records.at(-1)?.phase, ShiftPhase.Completed);
});

test("leader that has just started begins with a small share", () => {
  const state = createLeader();
  const effects = decideTrafficShift(state, tickOf(100, 0));
  const step = effects.find((effect) => effect.type === "send-step");
  assert.ok(Math.abs((step?.step.share ?? 0) - 0.02) < 1e-9);
});

test("late record of a traffic shift does not end the next shift", () => {
  const state = createLeader();
  simulateShift(state, { untilMs: 4_000 });
  const next = { ...SHIFT_ORDER, target: "v3" };
  decideTrafficShift(state, {
    type: "ordered",
    order: next,
    isNew: true,
    now: 4_000,
  });
  decideTrafficShift(state, {
    type: "recorded",
    status: { service: "one", target: "v2", phase: ShiftPhase.Completed },
    tookMs: 10,
    now: 4_100,
  });
  assert.equal(state.shifts.get("one")?.step.phase, ShiftPhase.Running);
});

test("traffic shift is not completed while the target has no endpoint", () => {
  const state = createLeader();
  simulateShift(state, { untilMs: 13_200 });
  const effects = decideTrafficShift(state, {
    type: "ticked",
    now: 13_900,
    rank: 0,
    exposure: EXPOSURE_LIMIT,
    loadOf: () => ({ ready: 0, calls: 0, otherReady: 2, otherCalls: 0 }),
  });
  assert.ok(effects.every((effect) => effect.type !== "record"));
});
