import { test } from "node:test";
import assert from "node:assert/strict";
import { createAcceptMeter } from "./create_accept_meter.ts";

function meterAt() {
  const clock = { now: 1_000 };
  let deferred: (() => void)[] = [];
  const meter = createAcceptMeter({
    now: () => clock.now,
    lagMs: () => 5,
    defer: (callback) => deferred.push(callback),
  });
  return {
    meter,
    /** Ends a turn of the event loop. */
    turn(tookMs: number) {
      clock.now += tookMs;
      const due = deferred;
      deferred = [];
      for (const callback of due) callback();
    },
  };
}

test("the wait grows while each turn accepts a connection", () => {
  const { meter, turn } = meterAt();
  assert.equal(meter.accepted(), 5);
  for (let n = 1; n <= 10; n++) {
    turn(100);
    assert.equal(meter.accepted(), 5 + n * 100);
  }
});

test("a turn without a connection resets the wait", () => {
  const { meter, turn } = meterAt();
  meter.accepted();
  turn(100);
  meter.accepted();
  turn(100);
  turn(100);
  assert.equal(meter.accepted(), 5);
});
