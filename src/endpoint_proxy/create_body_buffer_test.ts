import { Buffer } from "node:buffer";
import { test } from "node:test";
import assert from "node:assert/strict";
import { offeredCall } from "../testing/offered_call.ts";
import { createBodyBuffer } from "./create_body_buffer.ts";

const photo = offeredCall({ body: undefined, bodyBytes: 4 });

function nextTurn(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

function createTestBuffer(times: { now: number }) {
  const buffer = createBodyBuffer({ now: () => times.now });
  const started: number[] = [];
  const begin = (number: number) =>
    buffer.begin(photo, () => started.push(number));
  return { buffer, started, begin };
}

test("at most three bodies are received concurrently", () => {
  const { buffer, started, begin } = createTestBuffer({ now: 0 });
  const bodies = [1, 2, 3, 4, 5].map(begin);
  assert.deepEqual(started, [1, 2, 3]);
  assert.equal(buffer.size(), 5);
  bodies[3]?.close();
  bodies[1]?.close();
  bodies[1]?.close();
  assert.deepEqual(started, [1, 2, 3, 5]);
  assert.equal(buffer.size(), 3);
});

test("a stalled body loses its upload slot", async (t) => {
  t.mock.timers.enable({ apis: ["setTimeout"] });
  const { buffer, started, begin } = createTestBuffer({ now: 0 });
  const bodies = [1, 2, 3, 4, 5].map(begin);
  t.mock.timers.tick(400);
  bodies[0]?.add(Buffer.from("ph"));
  assert.deepEqual(started, [1, 2, 3]);
  t.mock.timers.tick(400);
  await nextTurn();
  assert.deepEqual(started, [1, 2, 3, 4, 5]);
  assert.equal(buffer.size(), 5);
  // A body that arrives after it lost its upload slot is still used.
  bodies[1]?.add(Buffer.from("phot"));
  assert.equal(bodies[1]?.isComplete(), true);
  for (const body of bodies) body.close();
  assert.equal(buffer.size(), 0);
});

test("a body with unread bytes keeps its upload slot", async (t) => {
  t.mock.timers.enable({ apis: ["setTimeout"] });
  const { started, begin } = createTestBuffer({ now: 0 });
  const bodies = [1, 2, 3, 4].map(begin);
  t.mock.timers.tick(600);
  for (const body of bodies.slice(0, 3)) body.add(Buffer.from("ph"));
  await nextTurn();
  assert.deepEqual(started, [1, 2, 3]);
  t.mock.timers.tick(600);
  await nextTurn();
  assert.deepEqual(started, [1, 2, 3, 4]);
});

test("the average body time includes the wait for an upload slot", () => {
  const times = { now: 0 };
  const { buffer, begin } = createTestBuffer(times);
  const body = begin(1);
  times.now = 30;
  body.add(Buffer.from("ph"));
  assert.equal(body.isComplete(), false);
  times.now = 50;
  body.add(Buffer.from("ot"));
  assert.equal(body.isComplete(), true);
  assert.equal(body.bytes().toString(), "phot");
  assert.equal(buffer.expectedMs(photo.route), 50);
  assert.equal(buffer.expectedMs("other"), 0);
});

test("bodies without a length or with a large one are not buffered", () => {
  const { buffer } = createTestBuffer({ now: 0 });
  assert.equal(buffer.fits(photo), true);
  assert.equal(buffer.fits({ ...photo, bodyBytes: undefined }), false);
  assert.equal(buffer.fits({ ...photo, bodyBytes: 2_000_000 }), false);
  assert.equal(buffer.fits(offeredCall()), false);
});

test("memory for bodies is limited and freed on close", () => {
  const { buffer } = createTestBuffer({ now: 0 });
  const large = { ...photo, bodyBytes: 1_000_000 };
  const bodies = [];
  while (buffer.fits(large)) bodies.push(buffer.begin(large, () => {}));
  assert.equal(bodies.length, 16);
  bodies[0]?.close();
  assert.equal(buffer.fits(large), true);
});
