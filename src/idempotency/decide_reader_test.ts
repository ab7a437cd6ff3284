import { test } from "node:test";
import assert from "node:assert/strict";
import { createReaderState, decideReader } from "./decide_reader.ts";
import type { ReaderState } from "./state.ts";

function read(reader: ReaderState, offset: number, floor: number) {
  const body = JSON.stringify({ writer: "w", floor, items: [] });
  const records = [{ offset, body }];
  decideReader(reader, { type: "read", records, oldest: 1, now: 0 });
}

test("reader gives no verdict before its own batch", () => {
  const reader = createReaderState("w");
  const claim = {
    type: "claim",
    key: "k",
    attempt: "a",
    digest: "d",
    leftMs: 1,
  } as const;
  const message = { type: "once/claim", claim } as const;
  const event = { type: "received", from: "n", message, now: 0 } as const;
  const [effect] = decideReader(reader, event);
  assert.ok(effect?.type === "send");
  assert.ok(effect.message.type === "once/verdict");
  assert.equal(effect.message.verdict.type, "away");
  read(reader, 1, 1);
  assert.equal(decideReader(reader, event)[0]?.type, "append");
});

test("batch below the start does not make a reader ready", () => {
  const reader = createReaderState("w");
  decideReader(reader, { type: "gone", oldest: 5 });
  read(reader, 5, 4);
  assert.equal(reader.isReady, false);
  read(reader, 6, 5);
  assert.equal(reader.isReady, true);
});

test("malformed record is passed over", () => {
  const reader = createReaderState("w");
  const records = [{ offset: 1, body: "{" }, { offset: 2, body: "[]" }];
  decideReader(reader, { type: "read", records, oldest: 1, now: 0 });
  assert.equal(reader.claims.next, 3);
});
