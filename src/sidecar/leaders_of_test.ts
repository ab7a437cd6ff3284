import { test } from "node:test";
import assert from "node:assert/strict";
import { ReaderStatus } from "../reader_election/state.ts";
import { leadersOf } from "./leaders_of.ts";

test("the next leader gets the evidence before it reads", () => {
  const readings = new Map([
    ["b-1", ReaderStatus.Healthy],
    ["a-2", ReaderStatus.Idle],
    ["a-1", ReaderStatus.Healthy],
    ["a-3", ReaderStatus.Idle],
    ["c-1", ReaderStatus.Healthy],
  ]);
  assert.deepEqual([...leadersOf(readings)], ["a-1", "b-1", "a-2"]);
  readings.delete("a-1");
  assert.deepEqual([...leadersOf(readings)], ["b-1", "c-1", "a-2", "a-3"]);
});

test("a node whose reads fail leads nothing", () => {
  const readings = new Map([
    ["a-1", ReaderStatus.Failing],
    ["a-2", ReaderStatus.Idle],
    ["b-1", ReaderStatus.Healthy],
  ]);
  assert.deepEqual([...leadersOf(readings)], ["b-1", "a-2"]);
});
