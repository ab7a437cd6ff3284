import { test } from "node:test";
import assert from "node:assert/strict";
import fc from "fast-check";
import { checkProperty } from "../testing/check_property.ts";
import { decideQueue, reportQueue } from "./decide_queue.ts";
import {
  createQueueState,
  type QueuedCall,
  type QueueEffect,
  type QueueState,
} from "./state.ts";

function openQueue(slots: number): QueueState {
  const state = createQueueState();
  const gate = { type: "open", slots } as const;
  decideQueue(state, { type: "gated", gate, coldUntil: -Infinity, now: 0 });
  return state;
}

let lastKey = 0;
function callOf(fields: Partial<QueuedCall> = {}): QueuedCall {
  return {
    key: ++lastKey,
    route: "a",
    urgency: 1,
    isNested: false,
    offeredAt: 0,
    objectiveAt: 300,
    deadlineAt: 1_000,
    ...fields,
  };
}

function offer(
  state: QueueState,
  call: QueuedCall,
  now = 0,
  mayBeLate = true,
) {
  return decideQueue(state, { type: "offered", call, mayBeLate, now });
}

function end(state: QueueState, key: number, now: number) {
  return decideQueue(state, { type: "ended", key, isAnswered: true, now });
}

function startedKeys(effects: readonly QueueEffect[]): number[] {
  return effects.flatMap((one) => one.type === "start" ? [one.key] : []);
}

test("a closed gate refuses at once", () => {
  const state = createQueueState();
  const [effect] = offer(state, callOf());
  assert.equal(effect?.type === "refuse" && effect.reason, "closed");
});

test("closing refuses all that wait and starts nothing", () => {
  const state = openQueue(1);
  offer(state, callOf());
  const second = callOf();
  assert.deepEqual(offer(state, second), []);
  const gate = { type: "closed", reason: "draining" } as const;
  const [effect] = decideQueue(state, {
    type: "gated",
    gate,
    coldUntil: -Infinity,
    now: 5,
  });
  assert.equal(effect?.type === "refuse" && effect.key, second.key);
});

test("an urgent call starts before one that came earlier", () => {
  const state = openQueue(1);
  const first = callOf();
  offer(state, first);
  offer(state, callOf({ urgency: 2 }));
  const urgent = callOf({ urgency: 0 });
  offer(state, urgent, 1);
  assert.deepEqual(startedKeys(end(state, first.key, 50)), [urgent.key]);
});

test("a call of a running call starts before new work", () => {
  const state = openQueue(1);
  const first = callOf();
  offer(state, first);
  offer(state, callOf({ urgency: 0 }));
  const inner = callOf({ isNested: true, urgency: 9, objectiveAt: 900 });
  offer(state, inner, 1);
  assert.deepEqual(startedKeys(end(state, first.key, 50)), [inner.key]);
});

test("a call past its aim waits for those that can still meet theirs", () => {
  const state = openQueue(1);
  learnRuns(state);
  const first = callOf();
  offer(state, first);
  const late = callOf({ objectiveAt: 60, urgency: 0 });
  offer(state, late);
  const timely = callOf({ objectiveAt: 300 });
  offer(state, timely);
  assert.deepEqual(startedKeys(end(state, first.key, 50)), [timely.key]);
});

test("what can't be answered before its deadline is refused at once", () => {
  const state = openQueue(1);
  offer(state, callOf());
  for (let n = 0; n < 5; n++) offer(state, callOf());
  const [effect] = offer(state, callOf({ deadlineAt: 100 }));
  assert.equal(effect?.type === "refuse" && effect.reason, "no-time");
  assert.ok(effect?.type === "refuse" && effect.waitMs > 0);
});

test("a waiting call is refused when its time runs out", () => {
  const state = openQueue(1);
  offer(state, callOf());
  const second = callOf({ deadlineAt: 200 });
  assert.deepEqual(offer(state, second), []);
  const [effect] = decideQueue(state, { type: "ticked", now: 190 });
  assert.equal(effect?.type === "refuse" && effect.key, second.key);
});

test("a late answer is refused first, and allowed as a last resort", () => {
  const state = openQueue(1);
  offer(state, callOf());
  const call = callOf({ objectiveAt: 70 });
  const [effect] = offer(state, call, 0, false);
  assert.equal(effect?.type === "refuse" && effect.reason, "late");
  assert.deepEqual(offer(state, call), []);
});

test("a load that lengthens every run does not make fresh calls late", () => {
  const state = openQueue(1);
  for (let n = 0; n < 10; n++) {
    const call = callOf();
    offer(state, call);
    end(state, call.key, 350);
  }
  const first = callOf();
  offer(state, first);
  const late = callOf({ objectiveAt: 100 });
  offer(state, late);
  const fresh = callOf({ offeredAt: 1, objectiveAt: 300 });
  offer(state, fresh);
  assert.deepEqual(startedKeys(end(state, first.key, 50)), [fresh.key]);
});

test("late calls wait in a bounded number, the newest first", () => {
  const state = openQueue(2);
  learnRuns(state);
  const running = [callOf(), callOf()];
  for (const call of running) offer(state, call);
  const late = Array.from(
    { length: 10 },
    (_, n) => callOf({ offeredAt: n, objectiveAt: 10, deadlineAt: 1e6 }),
  );
  const refused = late.flatMap((call) =>
    offer(state, call).flatMap((one) =>
      one.type === "refuse" ? [[one.key, one.reason]] : []
    )
  );
  assert.deepEqual(
    refused,
    late.slice(0, 6).map(({ key }) => [key, "crowded"]),
  );
  const [first] = running;
  assert.ok(first);
  assert.deepEqual(startedKeys(end(state, first.key, 50)), [late[9]?.key]);
});

test("late calls of running calls are crowded out like others", () => {
  const state = openQueue(1);
  learnRuns(state);
  offer(state, callOf());
  const inner = Array.from(
    { length: 5 },
    () => callOf({ isNested: true, objectiveAt: 10, deadlineAt: 1e6 }),
  );
  const refused = inner.flatMap((call) => offer(state, call))
    .filter((effect) => effect.type === "refuse");
  assert.equal(refused.length, 3);
});

/** Teaches the queue that runs of route a take 50 ms. */
function learnRuns(state: QueueState) {
  for (let n = 0; n < 10; n++) {
    const call = callOf();
    offer(state, call);
    end(state, call.key, 50);
  }
}

test("a wait that eats up the margin to the aim is refused", () => {
  const state = openQueue(1);
  learnRuns(state);
  offer(state, callOf());
  assert.deepEqual(offer(state, callOf(), 0, false), []);
  assert.deepEqual(offer(state, callOf(), 0, false), []);
  const [effect] = offer(state, callOf(), 0, false);
  assert.equal(effect?.type === "refuse" && effect.reason, "late");
});

test("a late call does not join a queue of timely ones", () => {
  const state = openQueue(1);
  learnRuns(state);
  for (let n = 0; n < 3; n++) offer(state, callOf());
  const [effect] = offer(state, callOf());
  assert.equal(effect?.type === "refuse" && effect.reason, "crowded");
});

test("a late call that finds no gap is given back early", () => {
  const state = openQueue(1);
  learnRuns(state);
  offer(state, callOf());
  const late = callOf({ objectiveAt: 80 });
  assert.deepEqual(offer(state, late), []);
  const refusedAt = (now: number) =>
    decideQueue(state, { type: "ticked", now })
      .flatMap((one) => one.type === "refuse" ? [one.key] : []);
  assert.deepEqual(refusedAt(240), []);
  assert.deepEqual(refusedAt(260), [late.key]);
});

test("a cold endpoint is expected to be slow once, not twice", () => {
  const state = createQueueState();
  const gate = { type: "open", slots: 1 } as const;
  decideQueue(state, { type: "gated", gate, coldUntil: 3_000, now: 0 });
  const call = callOf();
  offer(state, call);
  end(state, call.key, 100);
  assert.equal(reportQueue(state, "a").routeMs, 50);
  offer(state, callOf({ objectiveAt: 500 }), 100);
  const next = callOf({ offeredAt: 100, objectiveAt: 600 });
  assert.deepEqual(offer(state, next, 100, false), []);
});

test("an endpoint without any answer is judged by the aim of its calls", () => {
  const state = openQueue(1);
  offer(state, callOf({ objectiveAt: 40 }));
  // The wait of one run is taken from the first guess of all runs.
  const short = callOf({ objectiveAt: 2_000, route: "long" });
  const [effect] = offer(state, callOf({ objectiveAt: 60 }), 0, false);
  assert.equal(effect?.type === "refuse" && effect.reason, "late");
  assert.deepEqual(offer(state, short, 0, false), []);
});

test("an overload starves neither long aims nor low urgency", () => {
  const state = openQueue(1);
  let running = callOf();
  offer(state, running);
  const patient = callOf({
    offeredAt: 1,
    objectiveAt: 2_000,
    deadlineAt: 3_000,
  });
  offer(state, patient, 1);
  const lowly = callOf({
    offeredAt: 2,
    urgency: 3,
    objectiveAt: 2_000,
    deadlineAt: 3_000,
  });
  offer(state, lowly, 2);
  const started: number[] = [];
  for (let now = 20; now < 600; now += 20) {
    // Two urgent calls with short aims come for each that ends.
    for (let n = 0; n < 2; n++) {
      const at = {
        offeredAt: now,
        objectiveAt: now + 200,
        deadlineAt: now + 800,
      };
      offer(state, callOf({ urgency: 0, ...at }), now);
    }
    const [next] = startedKeys(end(state, running.key, now));
    assert.ok(next);
    started.push(next);
    running = callOf({ key: next });
  }
  assert.ok(started.includes(patient.key));
  assert.ok(started.includes(lowly.key));
});

test("a run far over its route's mean is overdue once", () => {
  const state = openQueue(4);
  for (let n = 0; n < 10; n++) {
    const call = callOf();
    offer(state, call);
    end(state, call.key, 20);
  }
  const slow = callOf();
  offer(state, slow);
  const at = (now: number) => decideQueue(state, { type: "ticked", now });
  assert.deepEqual(at(50), []);
  assert.deepEqual(at(70), [{ type: "overdue", key: slow.key }]);
  assert.deepEqual(at(90), []);
});

const steps = fc.array(
  fc.oneof(
    fc.record({
      type: fc.constant("offer" as const),
      objectiveMs: fc.integer({ min: 10, max: 300 }),
      deadlineMs: fc.integer({ min: 10, max: 900 }),
      urgency: fc.integer({ min: 0, max: 2 }),
      isNested: fc.boolean(),
      mayBeLate: fc.boolean(),
    }),
    fc.record({ type: fc.constant("end" as const) }),
    fc.record({ type: fc.constant("tick" as const) }),
    fc.record({ type: fc.constant("leave" as const) }),
  ),
  { maxLength: 150 },
);

test("each call starts or is refused once, within the slots", () => {
  checkProperty(
    fc.property(fc.integer({ min: 1, max: 6 }), steps, (slots, all) => {
      const state = openQueue(slots);
      const open = new Set<number>();
      const running: number[] = [];
      let now = 0;
      const apply = (effects: readonly QueueEffect[]) => {
        for (const effect of effects) {
          if (effect.type === "overdue") continue;
          assert.ok(open.delete(effect.key));
          if (effect.type === "start") running.push(effect.key);
        }
      };
      for (const step of all) {
        now += 7;
        if (step.type === "offer") {
          const call = callOf({
            ...step,
            objectiveAt: now + step.objectiveMs,
            deadlineAt: now + step.deadlineMs,
          });
          open.add(call.key);
          apply(offer(state, call, now, step.mayBeLate));
        } else if (step.type === "end") {
          const key = running.shift();
          if (key !== undefined) apply(end(state, key, now));
        } else if (step.type === "leave") {
          const [key] = open;
          if (key === undefined) continue;
          open.delete(key);
          apply(decideQueue(state, { type: "withdrawn", key, now }));
        } else {
          apply(decideQueue(state, { type: "ticked", now }));
        }
        assert.ok(running.length <= slots);
        assert.equal(state.waiting.size, open.size);
      }
    }),
    { runs: 200 },
  );
});
