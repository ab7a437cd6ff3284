import { test } from "node:test";
import assert from "node:assert/strict";
import fc from "fast-check";
import { decideQueue } from "../queue/decide_queue.ts";
import {
  createQueueState,
  type QueuedCall,
  type QueueState,
} from "../queue/state.ts";
import { checkProperty } from "../testing/check_property.ts";
import { classOf } from "./class_of.ts";
import { lateWaitShare } from "./late_wait_share.ts";
import { mayTryElsewhere } from "./may_try_elsewhere.ts";

let lastKey = 0;
function callOf(fields: Partial<QueuedCall> = {}): QueuedCall {
  return {
    key: ++lastKey,
    route: "a",
    urgency: 1,
    isNested: false,
    arrivedAt: 0,
    objectiveAt: 400,
    deadlineAt: 1_600,
    ...fields,
  };
}

/** A queue whose runs of route `a` took 50 ms. */
function openQueue(slots: number): QueueState {
  const state = createQueueState();
  const gate = { type: "open", slots } as const;
  const coldUntil = -Infinity;
  decideQueue(state, { type: "gate-changed", gate, coldUntil, now: 0 });
  for (let n = 0; n < 10; n++) {
    const { key } = callOf({ key: -1 });
    decideQueue(state, {
      type: "arrived",
      call: callOf({ key }),
      mayBeLate: true,
      now: 0,
    });
    decideQueue(state, { type: "ended", key, isAnswered: true, now: 50 });
  }
  return state;
}

function offer(state: QueueState, call: QueuedCall, now = 0) {
  return decideQueue(state, { type: "arrived", call, mayBeLate: true, now });
}

test("account urgency is compared before route urgency", () => {
  const own = classOf(callOf({ accountUrgency: 0, urgency: 5 }));
  assert.ok(own < classOf(callOf({ accountUrgency: 1, urgency: 0 })));
  assert.ok(classOf(callOf({ isNested: true, urgency: 9 })) < own);
});

test("urgent call displaces a waiting, less urgent one", () => {
  const state = openQueue(1);
  offer(state, callOf());
  const times = { objectiveAt: 3_000, deadlineAt: 5_000 };
  const photos = [1, 2, 3, 4].map(() => callOf(times));
  for (const photo of photos) offer(state, photo);
  const urgent = callOf({ urgency: 0, arrivedAt: 900, objectiveAt: 1_200 });
  const effects = offer(state, urgent, 900);
  assert.ok(state.waiting.has(urgent.key));
  // One waits in 125 ms, half of the slack, and the oldest of its class stays.
  assert.deepEqual(
    effects.map((one) => one.type === "refuse" && [one.key, one.reason]),
    photos.slice(1).map(({ key }) => [key, "displaced"]),
  );
});

test("patient late calls wait until their deadline", () => {
  const state = openQueue(1);
  offer(state, callOf());
  const patient = callOf({ lateShare: 1, objectiveAt: 60, deadlineAt: 1_000 });
  assert.deepEqual(offer(state, patient), []);
  const tick = (now: number) =>
    decideQueue(state, { type: "ticked", now })
      .filter(({ type }) => type === "refuse");
  assert.deepEqual(tick(900), []);
  assert.equal(tick(980).length, 1);
});

test("late nested call whose parent ran longest is kept", () => {
  const state = openQueue(1);
  offer(state, callOf());
  const nested = [90, 10, 50].map((parentUsedMs) =>
    callOf({ isNested: true, objectiveAt: 10, parentUsedMs })
  );
  const effects = nested.flatMap((call) => offer(state, call));
  assert.deepEqual(
    effects.map((one) => one.type === "refuse" && one.key),
    [nested[1]?.key],
  );
});

test("only deadlines far behind the objective make callers patient", () => {
  const shareOf = (objectiveMs: number, deadlineMs: number) =>
    lateWaitShare(deadlineMs / objectiveMs);
  for (const [aim, end] of [[200, 800], [700, 2_918], [1_073, 1_609]]) {
    assert.equal(shareOf(aim ?? 0, end ?? 0), 0.25);
  }
  assert.equal(shareOf(839, 5_046), 1);
  assert.equal(shareOf(2_087, 12_045), 1);
  assert.equal(shareOf(0, 800), 0.25);
});

test("impatient call is not sent on after a full queue", () => {
  const at = (lateShare: number, offers: number) =>
    mayTryElsewhere({ reason: "crowded", offers, lateShare });
  assert.deepEqual([at(0.25, 1), at(1, 1), at(1, 3)], [false, true, false]);
});

test("call with a free slot is never refused, a started one never displaced", () => {
  const step = fc.record({
    urgency: fc.integer({ min: 0, max: 3 }),
    accountUrgency: fc.integer({ min: 0, max: 2 }),
    objectiveMs: fc.integer({ min: 100, max: 900 }),
    lateShare: fc.constantFrom(undefined, 0.5, 1),
    ends: fc.boolean(),
  });
  const steps = fc.array(step, { maxLength: 150 });
  checkProperty(
    fc.property(fc.integer({ min: 1, max: 4 }), steps, (slots, all) => {
      const state = openQueue(slots);
      let now = 0;
      for (const { objectiveMs, ends, ...rest } of all) {
        now += 9;
        const times = { arrivedAt: now, objectiveAt: now + objectiveMs };
        const call = callOf({ ...rest, ...times, deadlineAt: now + 2_000 });
        const running = new Set(state.running.keys());
        const effects = offer(state, call, now);
        for (const effect of effects) {
          if (effect.type !== "refuse") continue;
          assert.ok(!running.has(effect.key));
          if (effect.key === call.key) assert.equal(running.size, slots);
        }
        const [key] = state.running.keys();
        if (!ends || key === undefined) continue;
        decideQueue(state, { type: "ended", key, isAnswered: true, now });
      }
    }),
    { runs: 100 },
  );
});
