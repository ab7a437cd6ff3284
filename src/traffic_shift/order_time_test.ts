import { test } from "node:test";
import assert from "node:assert/strict";
import {
  createLeader,
  SHIFT_ORDER,
  simulateShift,
  tickOf,
} from "../testing/simulate_shifts.ts";
import { chooseVersions } from "./choose_version.ts";
import { decideTrafficShift } from "./decide_traffic_shift.ts";
import { describeShifts } from "./describe_shifts.ts";
import { decodeOrderTime, encodeOrderTime } from "./order_time.ts";
import {
  createTrafficShiftState,
  ShiftPhase,
  type TrafficShiftEvent,
} from "./state.ts";

test("restarted node adopts the step, fault and order time of a traffic shift", () => {
  const before = createLeader();
  simulateShift(before, {
    untilMs: 6_000,
    isFailed: (version) => version === "v2",
  });
  // The leader stopped before it could record the end of the traffic shift.
  const shift = before.shifts.get("one");
  assert.ok(shift);
  shift.step = { ...shift.step, phase: ShiftPhase.Running };
  const [description] = describeShifts(before, 6_000);
  assert.ok(description?.fault);
  const state = createTrafficShiftState({ self: "b", source: "b 1" });
  decideTrafficShift(state, {
    type: "ordered",
    order: SHIFT_ORDER,
    isNew: true,
    now: 100_000,
  });
  const { step, fault, report } = description;
  decideTrafficShift(state, { type: "step-received", step, now: 100_000 });
  decideTrafficShift(state, { type: "report-received", report, now: 100_000 });
  decideTrafficShift(state, { type: "fault-received", fault });
  decideTrafficShift(state, { type: "leased", epoch: 2 });
  const effects = decideTrafficShift(state, tickOf(100_000, 0));
  const record = effects.find((effect) => effect.type === "record");
  assert.equal(record?.status.phase, ShiftPhase.RolledBack);
  assert.equal(state.shifts.get("one")?.orderedAt, 94_000);
});

test("reconnected node applies the end of a traffic shift", () => {
  const before = createLeader();
  simulateShift(before, { untilMs: 14_000 });
  const [description] = describeShifts(before, 20_000);
  assert.equal(description?.step.phase, ShiftPhase.Completed);
  const state = createTrafficShiftState({ self: "b", source: "b 1" });
  decideTrafficShift(state, {
    type: "ordered",
    order: SHIFT_ORDER,
    isNew: true,
    now: 0,
  });
  decideTrafficShift(state, {
    type: "step-received",
    step: description.step,
    now: 20_000,
  });
  assert.deepEqual(chooseVersions(state, "one", ["v2"]), ["v2"]);
});

for (const isOrderFirst of [true, false]) {
  const first = isOrderFirst ? "order" : "time";
  test(`order time is restored from the store, ${first} read first`, () => {
    const time = encodeOrderTime({
      service: "one",
      target: "v2",
      orderedAt: 50_000,
    });
    const read = decodeOrderTime(time);
    assert.deepEqual(read, { service: "one", target: "v2", orderedAt: 50_000 });
    const state = createTrafficShiftState({ self: "a", source: "a 2" });
    const events: TrafficShiftEvent[] = [
      { type: "ordered", order: SHIFT_ORDER, isNew: false, now: 1_000 },
      {
        type: "order-time-read",
        service: "one",
        target: "v2",
        elapsedMs: 9_000,
        now: 1_000,
      },
    ];
    for (const event of isOrderFirst ? events : events.toReversed()) {
      decideTrafficShift(state, event);
    }
    assert.equal(state.shifts.get("one")?.orderedAt, -8_000);
  });
}

test("estimated order time does not replace a known order time", () => {
  const state = createLeader();
  simulateShift(state, { untilMs: 2_000 });
  const shift = state.shifts.get("one");
  assert.ok(shift);
  const estimate = { ms: 9_000, isKnown: false };
  const step = { ...shift.step, epoch: 2, elapsed: estimate };
  decideTrafficShift(state, { type: "step-received", step, now: 2_000 });
  decideTrafficShift(state, {
    type: "order-time-read",
    service: "one",
    target: "v2",
    elapsedMs: 9_000,
    now: 2_000,
  });
  assert.equal(shift.orderedAt, 0);
});

test("known order time replaces an estimate", () => {
  const state = createTrafficShiftState({ self: "b", source: "b 1" });
  decideTrafficShift(state, {
    type: "ordered",
    order: SHIFT_ORDER,
    isNew: false,
    now: 5_000,
  });
  decideTrafficShift(state, {
    type: "order-time-read",
    service: "one",
    target: "v2",
    elapsedMs: 9_000,
    now: 5_000,
  });
  const shift = state.shifts.get("one");
  assert.ok(shift);
  const elapsed = { ms: 4_000, isKnown: true };
  const step = { ...shift.step, elapsed };
  decideTrafficShift(state, { type: "step-received", step, now: 5_000 });
  assert.equal(shift.orderedAt, 1_000);
});
