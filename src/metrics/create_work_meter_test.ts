import { test } from "node:test";
import assert from "node:assert/strict";
import {
  createWorkMeter,
  Duty,
  MessageDirection,
} from "./create_work_meter.ts";

test("nested work is counted once", () => {
  let now = 0;
  const meter = createWorkMeter({ now: () => now });
  const outer = meter.begin();
  now = 2;
  const inner = meter.begin();
  now = 5;
  meter.endMessage(inner, MessageDirection.Sent, "offer", 100);
  now = 6;
  meter.end(outer, Duty.Callers);
  const { workMs, messages } = meter.totals();
  assert.equal(workMs.get(Duty.Callers), 3);
  assert.deepEqual([...messages.values()], [
    { type: "offer", way: MessageDirection.Sent, count: 1, bytes: 100, ms: 3 },
  ]);
});

test("successive work is added up", () => {
  let now = 0;
  const meter = createWorkMeter({ now: () => now });
  for (const ms of [3, 4]) {
    const work = meter.begin();
    now += ms;
    meter.end(work, Duty.Timers);
  }
  assert.equal(meter.totals().workMs.get(Duty.Timers), 7);
});

test("a summary contains the increase since the previous summary", () => {
  const meter = createWorkMeter({ now: () => 0 });
  meter.addMs(Duty.Timers, 5);
  meter.countStoreCall("read topic");
  assert.deepEqual(meter.summary(), { timers: 5, "read topic": 1 });
  meter.addMs(Duty.Timers, 2);
  assert.deepEqual(meter.summary(), { timers: 2 });
});
