import { test } from "node:test";
import assert from "node:assert/strict";
import fc from "fast-check";
import { checkProperty } from "../testing/check_property.ts";
import { decideColdStart } from "../cold_start/decide_cold_start.ts";
import { nextTickMs } from "./next_tick.ts";
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
  decideQueue(state, {
    type: "gate-changed",
    gate,
    coldUntil: -Infinity,
    now: 0,
  });
  return state;
}

let lastKey = 0;
function callOf(fields: Partial<QueuedCall> = {}): QueuedCall {
  return {
    key: ++lastKey,
    route: "a",
    urgency: 1,
    isNested: false,
    arrivedAt: 0,
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
  return decideQueue(state, { type: "arrived", call, mayBeLate, now });
}

function end(state: QueueState, key: number, now: number) {
  return decideQueue(state, { type: "ended", key, isAnswered: true, now });
}

function startedKeys(effects: readonly QueueEffect[]): number[] {
  return effects.flatMap((one) => one.type === "start" ? [one.key] : []);
}

test("closed queue refuses a call immediately", () => {
  const state = createQueueState();
  const [effect] = offer(state, callOf());
  assert.equal(effect?.type === "refuse" && effect.reason, "closed");
});

test("closing refuses all waiting calls and starts none", () => {
  const state = openQueue(1);
  offer(state, callOf());
  const second = callOf();
  assert.deepEqual(offer(state, second), []);
  const gate = { type: "closed", reason: "draining" } as const;
  const [effect] = decideQueue(state, {
    type: "gate-changed",
    gate,
    coldUntil: -Infinity,
    now: 5,
  });
  assert.equal(effect?.type === "refuse" && effect.key, second.key);
});

test("urgent call starts before an earlier, less urgent one", () => {
  const state = openQueue(1);
  const first = callOf();
  offer(state, first);
  offer(state, callOf({ urgency: 2 }));
  const urgent = callOf({ urgency: 0 });
  offer(state, urgent, 1);
  assert.deepEqual(startedKeys(end(state, first.key, 50)), [urgent.key]);
});

test("nested call starts before other calls", () => {
  const state = openQueue(1);
  const first = callOf();
  offer(state, first);
  offer(state, callOf({ urgency: 0 }));
  const nested = callOf({ isNested: true, urgency: 9, objectiveAt: 900 });
  offer(state, nested, 1);
  assert.deepEqual(startedKeys(end(state, first.key, 50)), [nested.key]);
});

test("call past its objective waits for calls that can meet theirs", () => {
  const state = openQueue(1);
  recordRuns(state);
  const first = callOf();
  offer(state, first);
  const late = callOf({ objectiveAt: 60, urgency: 0 });
  offer(state, late);
  const timely = callOf({ objectiveAt: 300 });
  offer(state, timely);
  assert.deepEqual(startedKeys(end(state, first.key, 50)), [timely.key]);
});

test("call that can't meet its deadline is refused immediately", () => {
  const state = openQueue(1);
  offer(state, callOf());
  for (let n = 0; n < 5; n++) offer(state, callOf());
  const [effect] = offer(state, callOf({ deadlineAt: 100 }));
  assert.equal(effect?.type === "refuse" && effect.reason, "no-time");
  assert.ok(effect?.type === "refuse" && effect.waitMs > 0);
});

// Guards against a call that is held until its deadline has passed: its caller
// can't be told any more that it has not run.
test("waiting call is refused before its deadline, whenever that is", () => {
  for (let deadlineAt = 200; deadlineAt < 300; deadlineAt += 7) {
    const state = openQueue(1);
    offer(state, callOf({ deadlineAt: 9_000 }));
    const second = callOf({ isNested: true, objectiveAt: 60, deadlineAt });
    offer(state, second);
    let now = 0;
    while (state.waiting.size > 0) {
      now += nextTickMs(state, now);
      decideQueue(state, { type: "ticked", now });
    }
    assert.ok(now < deadlineAt, `${now} of ${deadlineAt}`);
  }
});

test("waiting call is refused when it can't meet its deadline", () => {
  const state = openQueue(1);
  offer(state, callOf());
  const second = callOf({ deadlineAt: 200 });
  assert.deepEqual(offer(state, second), []);
  const [effect] = decideQueue(state, { type: "ticked", now: 190 });
  assert.equal(effect?.type === "refuse" && effect.key, second.key);
});

function limit(state: QueueState, key: number, answerBy: number, now: number) {
  const event = { type: "answer-limited", key, answerBy, now } as const;
  return decideQueue(state, event);
}

// Such calls ran when their caller's node had ended, or were cut in the queue.
test("waiting call is refused if it can't be answered before a node ends", () => {
  const state = openQueue(1);
  const times = { objectiveAt: 3_000, deadlineAt: 9_000 };
  const running = callOf(times);
  const [soon, never] = [callOf(times), callOf(times)];
  for (const call of [running, soon, never]) offer(state, call);
  assert.deepEqual(limit(state, running.key, 10, 5), []);
  assert.deepEqual(limit(state, soon.key, 8_000, 5), []);
  const [effect] = limit(state, never.key, 1_000, 5);
  assert.ok(effect?.type === "refuse" && effect.key === never.key);
  assert.equal(effect.reason, "no-time");
  assert.deepEqual(startedKeys(end(state, running.key, 90)), [soon.key]);
});

test("limited call that still waits is refused before a node ends", () => {
  const state = openQueue(1);
  offer(state, callOf({ deadlineAt: 9_000 }));
  const waiting = callOf({ deadlineAt: 9_000 });
  offer(state, waiting);
  assert.deepEqual(limit(state, waiting.key, 2_000, 5), []);
  for (let now = 5; now < 2_000; now += nextTickMs(state, now)) {
    const effects = decideQueue(state, { type: "ticked", now });
    if (effects.length === 0) continue;
    assert.ok(effects[0]?.type === "refuse");
    return;
  }
  assert.fail("the call still waits when the node ends");
});

test("call past its objective is queued only if it may be late", () => {
  const state = openQueue(1);
  offer(state, callOf());
  const call = callOf({ objectiveAt: 70 });
  const [effect] = offer(state, call, 0, false);
  assert.equal(effect?.type === "refuse" && effect.reason, "late");
  assert.deepEqual(offer(state, call), []);
});

test("new calls go first when runs take longer than the objective", () => {
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
  const fresh = callOf({ arrivedAt: 1, objectiveAt: 300 });
  offer(state, fresh);
  assert.deepEqual(startedKeys(end(state, first.key, 50)), [fresh.key]);
});

test("number of waiting late calls is limited, and the newest starts first", () => {
  const state = openQueue(2);
  recordRuns(state);
  const running = [callOf(), callOf()];
  for (const call of running) offer(state, call);
  const late = Array.from(
    { length: 10 },
    (_, n) => callOf({ arrivedAt: n, objectiveAt: 10, deadlineAt: 1e6 }),
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

test("too many late nested calls are refused like other calls", () => {
  const state = openQueue(1);
  recordRuns(state);
  offer(state, callOf());
  const nested = Array.from(
    { length: 5 },
    () => callOf({ isNested: true, objectiveAt: 10, deadlineAt: 1e6 }),
  );
  const refused = nested.flatMap((call) => offer(state, call))
    .filter((effect) => effect.type === "refuse");
  assert.equal(refused.length, 3);
});

/** Records 10 runs of route `a` that took 50 ms each. */
function recordRuns(state: QueueState) {
  for (let n = 0; n < 10; n++) {
    const call = callOf();
    offer(state, call);
    end(state, call.key, 50);
  }
}

test("call is refused when its wait puts the objective at risk", () => {
  const state = openQueue(1);
  recordRuns(state);
  offer(state, callOf());
  assert.deepEqual(offer(state, callOf(), 0, false), []);
  assert.deepEqual(offer(state, callOf(), 0, false), []);
  const [effect] = offer(state, callOf(), 0, false);
  assert.equal(effect?.type === "refuse" && effect.reason, "late");
});

test("late call is refused while calls on time fill the queue", () => {
  const state = openQueue(1);
  recordRuns(state);
  for (let n = 0; n < 3; n++) offer(state, callOf());
  const [effect] = offer(state, callOf());
  assert.equal(effect?.type === "refuse" && effect.reason, "crowded");
});

test("late call that gets no slot is refused early", () => {
  const state = openQueue(1);
  recordRuns(state);
  offer(state, callOf());
  const late = callOf({ objectiveAt: 80 });
  assert.deepEqual(offer(state, late), []);
  const refusedAt = (now: number) =>
    decideQueue(state, { type: "ticked", now })
      .flatMap((one) => one.type === "refuse" ? [one.key] : []);
  assert.deepEqual(refusedAt(240), []);
  assert.deepEqual(refusedAt(260), [late.key]);
});

test("cold start slows the estimated run time only once", () => {
  const state = createQueueState();
  const gate = { type: "open", slots: 1 } as const;
  decideQueue(state, { type: "gate-changed", gate, coldUntil: 3_000, now: 0 });
  const call = callOf();
  offer(state, call);
  end(state, call.key, 100);
  assert.equal(reportQueue(state, "a").routeMs, 50);
  offer(state, callOf({ objectiveAt: 500 }), 100);
  const next = callOf({ arrivedAt: 100, objectiveAt: 600 });
  assert.deepEqual(offer(state, next, 100, false), []);
});

test("run time is estimated from the objective before any answer", () => {
  const state = openQueue(1);
  offer(state, callOf({ objectiveAt: 40 }));
  // The expected wait of one run comes from `INITIAL_RUN_ESTIMATE_MS`.
  const otherRoute = callOf({ objectiveAt: 2_000, route: "long" });
  const [effect] = offer(state, callOf({ objectiveAt: 60 }), 0, false);
  assert.equal(effect?.type === "refuse" && effect.reason, "late");
  assert.deepEqual(offer(state, otherRoute, 0, false), []);
});

test("overload starves neither long objectives nor low urgency", () => {
  const state = openQueue(1);
  let running = callOf();
  offer(state, running);
  const longObjective = callOf({
    arrivedAt: 1,
    objectiveAt: 2_000,
    deadlineAt: 3_000,
  });
  offer(state, longObjective, 1);
  const leastUrgent = callOf({
    arrivedAt: 2,
    urgency: 3,
    objectiveAt: 2_000,
    deadlineAt: 3_000,
  });
  offer(state, leastUrgent, 2);
  const started: number[] = [];
  for (let now = 20; now < 600; now += 20) {
    // Two urgent calls with short objectives arrive for each call that ends.
    for (let n = 0; n < 2; n++) {
      const at = {
        arrivedAt: now,
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
  assert.ok(started.includes(longObjective.key));
  assert.ok(started.includes(leastUrgent.key));
});

test("run that far exceeds its route's mean is reported overdue once", () => {
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

const arbitrarySteps = fc.array(
  fc.oneof(
    fc.record({
      type: fc.constant("arrive" as const),
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
    fc.property(
      fc.integer({ min: 1, max: 6 }),
      arbitrarySteps,
      (slots, all) => {
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
          if (step.type === "arrive") {
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
      },
    ),
    { runs: 200 },
  );
});

/** A queue whose endpoint is cold and tolerates `perSecond` starts. */
function coldQueue(slots: number, perSecond: number): QueueState {
  const state = openQueue(slots);
  const { coldStart } = state;
  decideColdStart(coldStart, { type: "terms-changed", perSecond, now: 0 });
  const stated = { type: "stated", until: Infinity, requestedAt: 0 } as const;
  decideColdStart(coldStart, { ...stated, now: 0 });
  return state;
}

// Guards against a call that waits for a cold endpoint until a slot is freed,
// which may never happen while none runs.
test("cold endpoint's waiting call starts at the tick that allows it", () => {
  const state = coldQueue(4, 1);
  const first = callOf({ objectiveAt: 5_000, deadlineAt: 9_000 });
  const second = callOf({ objectiveAt: 5_000, deadlineAt: 9_000 });
  assert.deepEqual(startedKeys(offer(state, first)), [first.key]);
  const delayed = { type: "delayed", key: second.key };
  assert.deepEqual(offer(state, second), [delayed]);
  assert.deepEqual(end(state, first.key, 100), []);
  const tickAt = (now: number) =>
    startedKeys(decideQueue(state, { type: "ticked", now }));
  assert.deepEqual(tickAt(990), []);
  assert.deepEqual(tickAt(1_000), [second.key]);
});

// Guards against calls that wait for a cold start in vain.
test("call is refused if a cold start takes longer than its slack", () => {
  const state = coldQueue(4, 1);
  offer(state, callOf());
  const reasonOf = (mayBeLate: boolean) => {
    const call = callOf({ deadlineAt: 9_000 });
    const [effect] = offer(state, call, 10, mayBeLate);
    return effect?.type === "refuse" ? effect.reason : undefined;
  };
  assert.equal(reasonOf(false), "late");
  assert.equal(reasonOf(true), "crowded");
  assert.equal(state.waiting.size, 0);
});
