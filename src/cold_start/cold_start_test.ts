import { test } from "node:test";
import assert from "node:assert/strict";
import fc from "fast-check";
import { checkProperty } from "../testing/check_property.ts";
import { decideColdStart } from "./decide_cold_start.ts";
import { startDelayMs, startsLeft } from "./start_delay.ts";
import { type ColdStartState, createColdStartState } from "./state.ts";

/** State of a process that is over its first second, at an endpoint. */
function limitedTo(perSecond: number, until: number): ColdStartState {
  const state = createColdStartState(-1_000);
  decideColdStart(state, { type: "terms-changed", perSecond, now: 0 });
  decideColdStart(state, { type: "stated", until, requestedAt: 0, now: 0 });
  return state;
}

/** Starts as many calls as the limit allows now, and returns their number. */
function startAllowed(state: ColdStartState, wanted: number, now: number) {
  let count = 0;
  while (count < wanted && startDelayMs(state, 0, now) <= 0) {
    decideColdStart(state, { type: "started", now });
    count++;
  }
  return count;
}

const stepSchema = fc.oneof(
  fc.record({
    type: fc.constant("wait" as const),
    ms: fc.oneof(fc.integer({ min: 1, max: 90 }), fc.constant(1_000)),
  }),
  fc.record({
    type: fc.constant("call" as const),
    wanted: fc.integer({ min: 1, max: 30 }),
  }),
  fc.record({
    type: fc.constantFrom("invalidate" as const, "ping" as const),
  }),
  fc.record({
    type: fc.constant("restart" as const),
    termsAfterPing: fc.boolean(),
  }),
);

// Guards against a cold endpoint that crashes because more calls than it
// tolerates start within one second, also when its node restarts.
test("no second has more starts than the limit", () => {
  checkProperty(
    fc.property(
      fc.array(stepSchema, { maxLength: 80 }),
      fc.constantFrom(0.4, 1, 3, 8.4),
      (steps, perSecond) => {
        const limit = Math.ceil(perSecond);
        let now = 0;
        let state = limitedTo(perSecond, Infinity);
        const starts: number[] = [];
        const ping = () =>
          decideColdStart(state, {
            type: "stated",
            until: Infinity,
            requestedAt: now,
            now,
          });
        const applyTerms = () =>
          decideColdStart(state, { type: "terms-changed", perSecond, now });
        for (const step of steps) {
          switch (step.type) {
            case "wait":
              now += step.ms;
              break;
            case "call": {
              const count = startAllowed(state, step.wanted, now);
              for (let i = 0; i < count; i++) starts.push(now);
              break;
            }
            case "invalidate":
              decideColdStart(state, { type: "invalidated", reason: "", now });
              break;
            case "ping":
              ping();
              applyTerms();
              break;
            case "restart":
              state = createColdStartState(now);
              if (!step.termsAfterPing) applyTerms();
              ping();
              break;
          }
          const inSecond = starts.filter((at) => now < at + 1_000).length;
          assert.ok(inSecond <= limit, `${inSecond} starts at ${now}`);
        }
      },
    ),
    { runs: 2_000 },
  );
});

// Guards against refusals by a wrong estimate of the wait.
test("predicted delay is when the start is allowed", () => {
  const state = limitedTo(3, Infinity);
  startAllowed(state, 2, 100);
  startAllowed(state, 1, 400);
  const now = 700;
  const predicted = [0, 1, 2, 3, 4, 7].map((ahead) =>
    startDelayMs(state, ahead, now)
  );
  assert.deepEqual(predicted, [400, 400, 700, 1_400, 1_400, 2_400]);
  let started = 0;
  const allowedAt: number[] = [];
  for (let at = now; at <= now + 2_400; at += 100) {
    const count = startAllowed(state, 9, at);
    for (let i = 0; i < count; i++) allowedAt[started++] = at - now;
  }
  const found = [0, 1, 2, 3, 4, 7].map((ahead) => allowedAt[ahead]);
  assert.deepEqual(found, predicted);
});

test("limit ends when the endpoint is warm", () => {
  const state = limitedTo(2, 500);
  assert.equal(startAllowed(state, 5, 100), 2);
  assert.equal(startsLeft(state, 0, 100), 0);
  assert.equal(startDelayMs(state, 0, 100), 400);
  assert.equal(startsLeft(state, 0, 500), undefined);
  assert.equal(startAllowed(state, 5, 500), 5);
});

test("calls that wait use up the starts that are left", () => {
  const state = limitedTo(5, Infinity);
  startAllowed(state, 2, 0);
  assert.equal(startsLeft(state, 2, 10), 1);
  assert.equal(startsLeft(state, 9, 10), 0);
});

// Guards against a health answer or a ping from before a crash that says of the
// next process that it is warm.
test("statement from before an invalidation does not end it", () => {
  const state = limitedTo(2, -Infinity);
  decideColdStart(state, { type: "invalidated", reason: "crash", now: 100 });
  const stated = { type: "stated", until: -Infinity, now: 150 } as const;
  decideColdStart(state, { ...stated, requestedAt: 90 });
  assert.equal(startsLeft(state, 0, 150), 2);
  const ended = decideColdStart(state, { ...stated, requestedAt: 110 });
  assert.deepEqual(ended, [{ type: "limit-ended" }]);
  assert.equal(startsLeft(state, 0, 150), undefined);
});

test("each invalidation requests the health path once", () => {
  const state = limitedTo(2, -Infinity);
  const open = () => decideColdStart(state, { type: "opened" });
  assert.deepEqual(open(), []);
  for (const now of [100, 200]) {
    decideColdStart(state, { type: "invalidated", reason: "crash", now });
    assert.deepEqual(open(), [{ type: "request-health" }]);
    assert.deepEqual(open(), []);
  }
});

// Guards against a change for services whose endpoints need no limit.
test("without a limit nothing is recorded, delayed or requested", () => {
  for (const perSecond of [undefined, 0]) {
    const state = createColdStartState(0);
    decideColdStart(state, { type: "terms-changed", perSecond, now: 0 });
    const stated = { type: "stated", until: 5_000, requestedAt: 0 } as const;
    decideColdStart(state, { ...stated, now: 0 });
    assert.equal(startAllowed(state, 100, 0), 100);
    assert.equal(state.recentStarts.length, 0);
    const invalidated = {
      type: "invalidated",
      reason: "crash",
      now: 1,
    } as const;
    assert.deepEqual(decideColdStart(state, invalidated), []);
    assert.deepEqual(decideColdStart(state, { type: "opened" }), []);
    assert.equal(startsLeft(state, 0, 2), undefined);
  }
});
