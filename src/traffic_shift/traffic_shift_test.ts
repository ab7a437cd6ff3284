import { test } from "node:test";
import assert from "node:assert/strict";
import {
  exposure,
  leader,
  order,
  present,
  simulateShift,
  tickOf,
} from "../testing/simulate_shifts.ts";
import { chooseVersions } from "./choose_version.ts";
import { countRun } from "./count_run.ts";
import { decideTrafficShift } from "./decide_traffic_shift.ts";
import { createTrafficShiftState, ShiftPhase } from "./state.ts";

test("a good version is completed shortly before its time is over", () => {
  const { records } = simulateShift(leader(), { untilMs: 14_000 });
  assert.equal(records[0]?.phase, ShiftPhase.Running);
  assert.equal(records[1]?.phase, ShiftPhase.Completed);
  const leftMs = order.durationMs - (records[1]?.at ?? Infinity);
  assert.ok(leftMs >= 300 && leftMs <= 600, `${leftMs} ms before`);
});

for (const perSecond of [2, 20, 100, 600]) {
  for (const durationMs of [6_000, 8_000, 16_000, 30_000]) {
    test(`${perSecond} requests a second move within ${durationMs} ms`, () => {
      const state = leader({ ...order, durationMs });
      let due = 0;
      const { counts, records } = simulateShift(state, {
        untilMs: durationMs,
        perTick: () => {
          due += perSecond / 10;
          const whole = Math.floor(due);
          due -= whole;
          return whole;
        },
      });
      assert.equal(records.at(-1)?.phase, ShiftPhase.Completed);
      const moved = counts.get("v2") ?? 0;
      const total = moved + (counts.get("v1") ?? 0);
      assert.ok(moved <= exposure.share * total + exposure.slack);
    });
  }
}

for (
  const [name, isFailed] of [
    ["at once", () => true],
    ["late", (_: string, now: number) => now > 3_000],
    ["at a fifth of its runs", (_: string, __: number, n: number) => n < 4],
  ] as const
) {
  test(`a version that fails ${name} is taken back`, () => {
    const state = leader();
    const { counts, records } = simulateShift(state, {
      untilMs: 14_000,
      isFailed: (version, now, n) => version === "v2" && isFailed("", now, n),
    });
    assert.equal(records.at(-1)?.phase, ShiftPhase.RolledBack);
    const total = (counts.get("v1") ?? 0) + (counts.get("v2") ?? 0);
    assert.ok((counts.get("v2") ?? 0) < 0.1 * total + 50);
    assert.deepEqual(chooseVersions(state, "one", present), ["v1"]);
  });
}

test("a version that is several times slower is taken back", () => {
  const { records } = simulateShift(leader(), {
    untilMs: 14_000,
    tookMs: (version, _, n) => version === "v2" && n % 2 === 0 ? 500 : 60,
  });
  assert.equal(records.at(-1)?.phase, ShiftPhase.RolledBack);
});

test("a load that comes with the last step is no fault of the version", () => {
  const state = leader();
  const shareOf = () => state.shifts.get("one")?.step.share ?? 0;
  const { records } = simulateShift(state, {
    untilMs: 14_000,
    // A third of the runs takes twice as long once the load is there.
    tookMs: (_, __, n) => shareOf() === 1 && n % 3 === 0 ? 160 : 80,
  });
  assert.equal(records.at(-1)?.phase, ShiftPhase.Completed);
});

test("a version that is many times slower at the last step is found", () => {
  const state = leader();
  const shareOf = () => state.shifts.get("one")?.step.share ?? 0;
  const { records } = simulateShift(state, {
    untilMs: 14_000,
    tookMs: (_, __, n) => shareOf() === 1 && n % 2 === 0 ? 600 : 80,
  });
  assert.equal(records.at(-1)?.phase, ShiftPhase.RolledBack);
});

test("a fault under load alone is found on the way up", () => {
  const state = leader();
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

test("without an order a new version gets nothing", () => {
  const state = createTrafficShiftState({ self: "a", source: "a 1" });
  assert.deepEqual(chooseVersions(state, "one", ["v1"]), ["v1"]);
  assert.deepEqual(chooseVersions(state, "one", ["v2", "v1"]), ["v1"]);
});

test("a version that nobody ordered gets nothing once the old one is back", () => {
  const state = createTrafficShiftState({ self: "a", source: "a 1" });
  assert.deepEqual(chooseVersions(state, "one", ["v1"]), ["v1"]);
  // Its homes were out of reach for a moment.
  chooseVersions(state, "one", ["v2"]);
  assert.deepEqual(chooseVersions(state, "one", ["v2", "v1"]), ["v1"]);
});

test("a version that nobody ordered gets nothing beside a move", () => {
  const running = { ...order, target: "v2" };
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

test("only the holder of the lease plans", () => {
  const state = createTrafficShiftState({ self: "a", source: "a 1" });
  decideTrafficShift(state, { type: "ordered", order, isNew: true, now: 0 });
  const load = { ready: 2, calls: 0, otherReady: 2, otherCalls: 0 };
  const tick = (rank: number | undefined) =>
    decideTrafficShift(state, {
      type: "ticked",
      now: 1_000,
      rank,
      exposure,
      loadOf: () => load,
    });
  assert.deepEqual(tick(undefined), []);
  assert.deepEqual(tick(0), [{ type: "lease" }]);
});

test("steps of an older lease are ignored", () => {
  const state = createTrafficShiftState({ self: "a", source: "a 1" });
  decideTrafficShift(state, { type: "ordered", order, isNew: true, now: 0 });
  const hear = (epoch: number, seq: number, share: number) =>
    decideTrafficShift(state, {
      type: "step-heard",
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
  hear(2, 1, 0.05);
  hear(1, 9, 1);
  assert.equal(state.shifts.get("one")?.step.share, 0.05);
  hear(2, 2, 0.2);
  assert.equal(state.shifts.get("one")?.step.share, 0.2);
});

test("a status read at start ends the move", () => {
  const state = createTrafficShiftState({ self: "a", source: "a 2" });
  const status = { service: "one", target: "v2", phase: ShiftPhase.RolledBack };
  decideTrafficShift(state, { type: "status-read", status, now: 0 });
  decideTrafficShift(state, { type: "ordered", order, isNew: true, now: 0 });
  assert.deepEqual(chooseVersions(state, "one", present), ["v1"]);
});

test("each step and status carries the runs behind it", () => {
  const state = leader();
  const run = { service: "one", route: "a", isExcused: false, tookMs: 60 };
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
  test(`a fault from ${onsetMs} ms of 14000 on reaches few requests`, () => {
    const { counts, records } = simulateShift(leader(), {
      untilMs: order.durationMs,
      isFailed: (version, now, n) =>
        version === "v2" && now >= onsetMs && n % 2 === 0,
    });
    const bad = counts.get("v2") ?? 0;
    const total = bad + (counts.get("v1") ?? 0);
    assert.ok(
      bad <= exposure.share * total + exposure.slack,
      `${bad} of ${total}`,
    );
    assert.equal(records.at(-1)?.phase, ShiftPhase.RolledBack);
  });
}

test("a version is not blamed for the failures of those that it calls", () => {
  const { records } = simulateShift(leader(), {
    untilMs: order.durationMs,
    isFailed: (version, _, n) => version === "v2" && n % 2 === 0,
    isExcused: true,
  });
  assert.equal(records.at(-1)?.phase, ShiftPhase.Completed);
});

test("a version that was taken back is not what the next move goes back to", () => {
  const state = leader();
  simulateShift(state, {
    untilMs: 6_000,
    isFailed: (version) => version === "v2",
  });
  const next = { ...order, target: "v3" };
  decideTrafficShift(state, {
    type: "ordered",
    order: next,
    isNew: true,
    now: 6_000,
  });
  assert.deepEqual(chooseVersions(state, "one", ["v1", "v2", "v3"]), ["v1"]);
});

test("nodes that warm up under their full load are no fault", () => {
  const state = leader();
  const move = state.shifts.get("one");
  assert.ok(move);
  const isWarming = (now: number) =>
    (move.step.share ?? 0) >= 0.25 && now - move.stepAt < 200;
  const { records } = simulateShift(state, {
    untilMs: 14_000,
    tookMs: (version, now) => version === "v2" && isWarming(now) ? 300 : 60,
  });
  assert.equal(records.at(-1)?.phase, ShiftPhase.Completed);
});

test("a leader that has just started begins with a small share", () => {
  const state = leader();
  const effects = decideTrafficShift(state, tickOf(100, 0));
  const step = effects.find((effect) => effect.type === "tell");
  assert.ok(Math.abs((step?.step.share ?? 0) - 0.02) < 1e-9);
});

test("the record of one move does not end the next", () => {
  const state = leader();
  simulateShift(state, { untilMs: 4_000 });
  const next = { ...order, target: "v3" };
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

test("a move is not ended on a version without an endpoint", () => {
  const state = leader();
  simulateShift(state, { untilMs: 13_200 });
  const effects = decideTrafficShift(state, {
    type: "ticked",
    now: 13_900,
    rank: 0,
    exposure,
    loadOf: () => ({ ready: 0, calls: 0, otherReady: 2, otherCalls: 0 }),
  });
  assert.ok(effects.every((effect) => effect.type !== "record"));
});
