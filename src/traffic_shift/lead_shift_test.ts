import { test } from "node:test";
import assert from "node:assert/strict";
import {
  createLeader,
  deliver,
  PRESENT_VERSIONS,
  SHIFT_ORDER,
  tickOf,
} from "../testing/simulate_shifts.ts";
import { chooseVersions } from "./choose_version.ts";
import { countRun } from "./count_run.ts";
import { decideTrafficShift } from "./decide_traffic_shift.ts";
import {
  createTrafficShiftState,
  ShiftPhase,
  type TrafficShiftState,
} from "./state.ts";

test("next node in rank records the completion while the leader is frozen", () => {
  const [first, second] = ["a", "b"].map((self) => {
    const state = createTrafficShiftState({ self, source: `${self} 1` });
    decideTrafficShift(state, {
      type: "ordered",
      order: SHIFT_ORDER,
      isNew: true,
      now: 0,
    });
    return state;
  });
  assert.ok(first && second);
  decideTrafficShift(first, { type: "leased", epoch: 1 });
  const tick = (state: TrafficShiftState, rank: number, now: number) =>
    decideTrafficShift(state, tickOf(now, rank));
  let endedAt: number | undefined;
  for (let now = 0; now <= SHIFT_ORDER.durationMs; now += 100) {
    for (const state of [first, second]) {
      const [version] = chooseVersions(state, "one", PRESENT_VERSIONS);
      assert.ok(version);
      for (let n = 0; n < 10; n++) {
        countRun(state, {
          service: "one",
          version,
          route: "a",
          isFailed: false,
          hasNestedFailure: false,
          tookMs: 60,
        });
      }
    }
    // The first node freezes three seconds before the deadline.
    const isFrozen = now >= SHIFT_ORDER.durationMs - 3_000;
    for (const [rank, state] of [first, second].entries()) {
      if (rank === 0 && isFrozen) continue;
      for (const effect of tick(state, rank, now)) {
        if (effect.type === "lease") {
          decideTrafficShift(state, { type: "leased", epoch: 2 });
        } else if (effect.type === "record") {
          const { phase } = effect.status;
          if (phase === ShiftPhase.Completed) endedAt ??= now;
          const effects = decideTrafficShift(state, {
            type: "recorded",
            status: effect.status,
            tookMs: 10,
            now,
          });
          for (const one of effects) deliver([first, second], state, one, now);
        } else deliver([first, second], state, effect, now);
      }
    }
  }
  assert.ok(
    endedAt !== undefined && endedAt < SHIFT_ORDER.durationMs,
    `${endedAt}`,
  );
});

test("leader that receives a step of a newer lease steps down", () => {
  const state = createLeader();
  const tick = (now: number) => decideTrafficShift(state, tickOf(now, 0));
  const [record] = tick(0);
  assert.equal(record?.type, "send-step");
  const shift = state.shifts.get("one");
  assert.ok(shift);
  const step = {
    ...shift.step,
    epoch: 2,
    seq: 1,
    elapsed: { ms: 100, isKnown: true },
  };
  decideTrafficShift(state, { type: "step-received", step, now: 100 });
  assert.equal(state.epoch, undefined);
  shift.fault = undefined;
  assert.deepEqual(tick(200), []);
});

test("leader that was paused requests the lease again before it acts", () => {
  const pauses = [
    { name: "stopped", now: 5_000, wall: 5_000 },
    { name: "suspended", now: 100, wall: 5_000 },
    { name: "clock set back", now: 100, wall: -5_000 },
  ];
  for (const { name, now, wall } of pauses) {
    const state = createLeader();
    decideTrafficShift(state, { type: "ran", now: 0, wall: 0 });
    decideTrafficShift(state, { type: "ran", now: 100, wall: 100 });
    assert.equal(state.epoch, 1, name);
    const later = { now: 100 + now, wall: 100 + wall };
    decideTrafficShift(state, { type: "ran", ...later });
    const effects = decideTrafficShift(state, tickOf(later.now, 0));
    const types = effects.map((effect) => effect.type);
    assert.deepEqual(types, ["lease"], name);
  }
});
