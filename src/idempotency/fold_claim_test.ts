import { test } from "node:test";
import assert from "node:assert/strict";
import { foldClaim } from "./fold_claim.ts";
import type { ClaimStreamItem, RunOutcome } from "./messages.ts";
import type { ClaimsState } from "./state.ts";

const KEY = "k";
const ANSWERED: RunOutcome = { type: "answered", status: 200, headers: {} };
const claim = (attempt: string): ClaimStreamItem => ({
  type: "claim",
  key: KEY,
  attempt,
  digest: "d",
  leftMs: 1,
});
const release = (attempt: string): ClaimStreamItem => ({
  type: "release",
  key: KEY,
  attempt,
});
const outcome = (attempt: string): ClaimStreamItem => ({
  type: "outcome",
  key: KEY,
  attempt,
  outcome: ANSWERED,
});

function fold(...items: readonly ClaimStreamItem[]) {
  const state: ClaimsState = { next: 1, floor: 0, held: new Map() };
  items.forEach((item, index) =>
    foldClaim({ state, item, offset: index + 1, now: 0 })
  );
  return state.held.get(KEY);
}

test("claim after its release does not hold the key", () => {
  assert.equal(fold(claim("a"), release("a"), claim("a"))?.attempt, "");
  assert.equal(fold(release("a"), claim("a"))?.attempt, "");
});

test("release after an outcome changes nothing", () => {
  assert.equal(fold(claim("a"), outcome("a"), release("a"))?.attempt, "a");
});

test("second outcome of an attempt is ignored", () => {
  assert.equal(fold(claim("a"), outcome("a"), outcome("a"))?.outcomeAt, 2);
});

test("outcome of a losing attempt is ignored", () => {
  assert.equal(fold(claim("a"), claim("b"), outcome("b"))?.outcomeAt, 0);
});
