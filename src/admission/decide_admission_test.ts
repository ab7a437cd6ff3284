import { test } from "node:test";
import assert from "node:assert/strict";
import fc from "fast-check";
import { checkProperty } from "../testing/check_property.ts";
import { decideAdmission } from "./decide_admission.ts";
import { rampSlots } from "./ramp_slots.ts";
import { createAdmissionState } from "./state.ts";

const ENDPOINT = "10.0.0.1:80";

/** Models one endpoint with a queue in tag order, as p-queue keeps it. */
function createModel(slots: number) {
  const state = createAdmissionState();
  let now = 0;
  const queue: { plan: string; tag: number }[] = [];
  const load = () => state.endpoints.get(ENDPOINT);
  return {
    load,
    queue,
    advance: (ms: number) => now += ms,
    ask(plan: string, leftMs = 1_000) {
      const event = {
        type: "asked",
        endpoint: ENDPOINT,
        plan,
        slots,
        leftMs,
        now,
      } as const;
      const [effect] = decideAdmission(state, event);
      if (effect?.type !== "admit") return false;
      const before = queue.findIndex((one) => one.tag > effect.tag);
      const at = before < 0 ? queue.length : before;
      queue.splice(at, 0, { plan, tag: effect.tag });
      return true;
    },
    start(isRun = true) {
      if ((load()?.running ?? 0) >= slots) return undefined;
      const next = queue.shift();
      if (next === undefined) return undefined;
      decideAdmission(state, {
        type: "started",
        endpoint: ENDPOINT,
        isRun,
        ...next,
      });
      return next.plan;
    },
    end(tookMs = 5) {
      if ((load()?.running ?? 0) === 0) return;
      decideAdmission(state, { type: "ended", endpoint: ENDPOINT, tookMs });
    },
  };
}

const steps = fc.array(
  fc.oneof(
    fc.record({
      type: fc.constant("ask" as const),
      plan: fc.constantFrom("a", "b", "c"),
      leftMs: fc.integer({ min: 0, max: 200 }),
    }),
    fc.record({ type: fc.constant("start" as const), isRun: fc.boolean() }),
    fc.record({ type: fc.constant("end" as const) }),
    fc.record({
      type: fc.constant("pass" as const),
      ms: fc.integer({ min: 1, max: 300 }),
    }),
  ),
  { maxLength: 200 },
);

test("queue length is limited and counts match the queue", () => {
  checkProperty(
    fc.property(fc.integer({ min: 1, max: 20 }), steps, (slots, all) => {
      const model = createModel(slots);
      for (const step of all) {
        if (step.type === "ask") model.ask(step.plan, step.leftMs);
        else if (step.type === "start") model.start(step.isRun);
        else if (step.type === "pass") model.advance(step.ms);
        else model.end();
        const load = model.load();
        if (load === undefined) continue;
        assert.equal(load.waiting, model.queue.length);
        const byPlan = [...load.waitingByPlan.values()];
        assert.equal(byPlan.reduce((sum, n) => sum + n, 0), load.waiting);
        assert.ok(load.running <= slots && load.running >= 0);
        assert.ok(load.waiting <= slots + 2 * 4 * slots);
      }
    }),
    { runs: 200 },
  );
});

test("a flood of one plan does not starve another", () => {
  const model = createModel(4);
  const ran = new Map<string, number>();
  for (let round = 0; round < 200; round++) {
    for (let n = 0; n < 20; n++) model.ask("flood");
    if (round % 2 === 0) assert.ok(model.ask("quiet"));
    while (true) {
      const plan = model.start();
      if (plan === undefined) break;
      ran.set(plan, (ran.get(plan) ?? 0) + 1);
    }
    model.end();
  }
  assert.ok((ran.get("quiet") ?? 0) >= 95);
});

test("standing queue is limited even if the deadlines are long", () => {
  const model = createModel(4);
  for (let n = 0; n < 4; n++) {
    model.ask("a", 1e9);
    model.start();
  }
  model.ask("a", 1e9);
  model.advance(101);
  for (let n = 0; n < 100; n++) model.ask("a", 1e9);
  assert.equal(model.queue.length, 1);
});

test("burst is queued up to its limit and later counts as a standing queue", () => {
  const model = createModel(4);
  for (let n = 0; n < 100; n++) model.ask("a", 1e9);
  assert.equal(model.queue.length, 4 + 4 * 4);
  // Twelve calls have run. After 101 ms the rest is a standing queue.
  for (let n = 0; n < 12; n++) {
    model.start();
    model.end();
  }
  model.advance(101);
  assert.ok(!model.ask("a", 1e9));
});

test("a call that can't meet its deadline is refused", () => {
  const model = createModel(1);
  assert.ok(model.ask("a"));
  model.start();
  assert.ok(!model.ask("a", 12));
  assert.ok(model.ask("a", 1_000));
});

test("cold endpoint ramps up to all its slots", () => {
  const at = (readyMs: number, connections = 100) =>
    rampSlots({ slots: 20, connections, readyMs });
  assert.equal(at(0), 5);
  assert.equal(at(60_000), 20);
  assert.equal(at(60_000, 3), 3);
  assert.equal(rampSlots({ slots: 1, connections: 1, readyMs: 0 }), 1);
});
