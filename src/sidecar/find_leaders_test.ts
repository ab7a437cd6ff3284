import { test } from "node:test";
import assert from "node:assert/strict";
import { ReaderStatus } from "../reader_election/state.ts";
import { findLeaders } from "./find_leaders.ts";

test("the next leaders are included before they read", () => {
  const readerStatuses = new Map([
    ["b-1", ReaderStatus.Healthy],
    ["a-2", ReaderStatus.Idle],
    ["a-1", ReaderStatus.Healthy],
    ["a-3", ReaderStatus.Idle],
    ["c-1", ReaderStatus.Healthy],
  ]);
  assert.deepEqual([...findLeaders(readerStatuses)], ["a-1", "b-1", "a-2"]);
  readerStatuses.delete("a-1");
  assert.deepEqual([...findLeaders(readerStatuses)], [
    "b-1",
    "c-1",
    "a-2",
    "a-3",
  ]);
});

test("a node whose reads fail is not a leader", () => {
  const readerStatuses = new Map([
    ["a-1", ReaderStatus.Failing],
    ["a-2", ReaderStatus.Idle],
    ["b-1", ReaderStatus.Healthy],
  ]);
  assert.deepEqual([...findLeaders(readerStatuses)], ["b-1", "a-2"]);
});
