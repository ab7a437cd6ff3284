import { test } from "node:test";
import assert from "node:assert/strict";
import { createControlLoop, Priority } from "./create_control_loop.ts";

function rethrow(err: unknown) {
  throw err;
}

test("rollback runs before waiting gossip", async () => {
  const order: string[] = [];
  const loop = createControlLoop({ onError: rethrow, maxWaiting: 9 });
  loop.post(Priority.Gossip, () => order.push("first"));
  loop.post(Priority.Gossip, () => order.push("gossip"));
  loop.post(Priority.Rollback, () => order.push("rollback"));
  await loop.idle();
  assert.deepEqual(order, ["first", "rollback", "gossip"]);
});

test("full loop refuses only gossip", async () => {
  const loop = createControlLoop({ onError: rethrow, maxWaiting: 1 });
  loop.post(Priority.Gossip, () => {});
  loop.post(Priority.Gossip, () => {});
  assert.equal(loop.post(Priority.Gossip, () => {}), false);
  assert.equal(loop.post(Priority.Config, () => {}), true);
  await loop.idle();
});

test("loop continues after a handler throws", async () => {
  const errors: unknown[] = [];
  const loop = createControlLoop({
    onError: (err) => errors.push(err),
    maxWaiting: 9,
  });
  loop.post(Priority.Config, () => {
    throw new Error("broken");
  });
  let ran = false;
  loop.post(Priority.Config, () => ran = true);
  await loop.idle();
  assert.equal(errors.length, 1);
  assert.equal(ran, true);
});
