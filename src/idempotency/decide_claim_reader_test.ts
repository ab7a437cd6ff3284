import { test } from "node:test";
import assert from "node:assert/strict";
import {
  createClaimReaderState,
  decideClaimReader,
} from "./decide_claim_reader.ts";
import type { ClaimReaderState } from "./state.ts";

function read(reader: ClaimReaderState, offset: number, floor: number) {
  const body = JSON.stringify({ writer: "w", floor, items: [] });
  const records = [{ offset, body }];
  decideClaimReader(reader, { type: "read", records, oldest: 1, now: 0 });
}

test("reader can't decide claims before it has read a batch that it wrote", () => {
  const reader = createClaimReaderState("w");
  const claim = {
    type: "claim",
    key: "k",
    attempt: "a",
    digest: "d",
    leftMs: 1,
  } as const;
  const message = { type: "once/claim", claim } as const;
  const event = { type: "received", from: "n", message, now: 0 } as const;
  const [effect] = decideClaimReader(reader, event);
  assert.ok(effect?.type === "send");
  assert.ok(effect.message.type === "once/verdict");
  assert.equal(effect.message.verdict.type, "away");
  read(reader, 1, 1);
  assert.equal(decideClaimReader(reader, event)[0]?.type, "append");
});

test("batch with a floor below the start does not make a reader ready", () => {
  const reader = createClaimReaderState("w");
  decideClaimReader(reader, { type: "gone", oldest: 5 });
  read(reader, 5, 4);
  assert.equal(reader.isReady, false);
  read(reader, 6, 5);
  assert.equal(reader.isReady, true);
});

test("malformed record is skipped", () => {
  const reader = createClaimReaderState("w");
  const records = [{ offset: 1, body: "{" }, { offset: 2, body: "[]" }];
  decideClaimReader(reader, { type: "read", records, oldest: 1, now: 0 });
  assert.equal(reader.claims.next, 3);
});
