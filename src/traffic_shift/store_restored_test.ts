import { test } from "node:test";
import assert from "node:assert/strict";
import { createLeader, tickOf } from "../testing/simulate_shifts.ts";
import { decideTrafficShift } from "./decide_traffic_shift.ts";
import { ShiftPhase, type TrafficShiftState } from "./state.ts";

const NEXT_ERA_EPOCH = 2 ** 20 + 1;

/** A leader whose traffic shift has ended, with its end recorded. */
function createEnded(phase: ShiftPhase): TrafficShiftState {
  const state = createLeader();
  const shift = state.shifts.get("one");
  assert.ok(shift);
  const { service, target } = shift.order;
  decideTrafficShift(state, {
    type: "recorded",
    status: { service, target, phase },
    tookMs: 1,
    now: 0,
  });
  shift.bake = undefined;
  return state;
}

function typesAt(state: TrafficShiftState, now: number): string[] {
  return decideTrafficShift(state, tickOf(now, 0)).map(({ type }) => type);
}

for (const phase of [ShiftPhase.Completed, ShiftPhase.RolledBack]) {
  test(`status ${phase} that the store lost is recorded again, under a new lease`, () => {
    const state = createEnded(phase);
    assert.deepEqual(typesAt(state, 100), []);
    decideTrafficShift(state, { type: "store-restored" });
    assert.deepEqual(typesAt(state, 200), ["lease"]);
    decideTrafficShift(state, { type: "leased", epoch: NEXT_ERA_EPOCH });
    const [record] = decideTrafficShift(state, tickOf(300, 0));
    assert.equal(record?.type, "record");
    assert.equal(record.status.phase, phase);
    assert.equal(record.epoch, NEXT_ERA_EPOCH);
    decideTrafficShift(state, {
      type: "recorded",
      status: record.status,
      tookMs: 1,
      now: 400,
    });
    assert.deepEqual(typesAt(state, 500), []);
  });

  test(`older status of a restored store does not undo ${phase}`, () => {
    const state = createEnded(phase);
    const order = state.shifts.get("one")?.order;
    assert.ok(order);
    const { service, target } = order;
    const status = { service, target, phase: ShiftPhase.Running };
    decideTrafficShift(state, { type: "status-read", status, now: 100 });
    assert.equal(state.shifts.get("one")?.step.phase, phase);
    assert.equal(state.statuses.get("one")?.phase, phase);
  });
}

test("leader that was paused over a restore acts only under a new lease", () => {
  const state = createLeader();
  decideTrafficShift(state, { type: "store-restored" });
  assert.equal(state.epoch, undefined);
  assert.ok(!typesAt(state, 100).includes("record"));
});
