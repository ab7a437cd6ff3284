import { test } from "node:test";
import assert from "node:assert/strict";
import { Reading } from "../reader_election/state.ts";
import { leadersOf } from "./leaders_of.ts";

test("the next leader gets the evidence before it reads", () => {
  const readings = new Map([
    ["b-1", Reading.Healthy],
    ["a-2", Reading.Idle],
    ["a-1", Reading.Healthy],
    ["a-3", Reading.Idle],
    ["c-1", Reading.Healthy],
  ]);
  assert.deepEqual([...leadersOf(readings)], ["a-1", "b-1", "a-2"]);
  readings.delete("a-1");
  assert.deepEqual([...leadersOf(readings)], ["b-1", "c-1", "a-2", "a-3"]);
});

test("a node whose reads fail leads nothing", () => {
  const readings = new Map([
    ["a-1", Reading.Failing],
    ["a-2", Reading.Idle],
    ["b-1", Reading.Healthy],
  ]);
  assert.deepEqual([...leadersOf(readings)], ["b-1", "a-2"]);
});
