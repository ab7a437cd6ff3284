import { test } from "node:test";
import assert from "node:assert/strict";
import { findFairLevel } from "./find_fair_level.ts";
import { isOverShare } from "./is_over_share.ts";
import {
  recordAccountOffer,
  recordAccountStart,
} from "./record_account_use.ts";
import { createFairSharingState } from "./state.ts";

test("level is infinite while all get what they request", () => {
  assert.equal(findFairLevel([100, 300], 400), Infinity);
  assert.equal(findFairLevel([], 0), Infinity);
});

test("level cuts the largest requests only", () => {
  const level = findFairLevel([100, 200, 900], 700);
  assert.ok(Math.abs(level - 400) < 2, String(level));
});

test("only the account that takes more than its share is over it", () => {
  const state = createFairSharingState();
  const isOver = (account: string) =>
    isOverShare(state, { key: 0, account, runMs: 50 });
  for (let now = 0; now < 3_000; now += 10) {
    const hot = { key: 0, account: "hot", runMs: 50, now };
    recordAccountOffer(state, hot);
    if (now % 20 === 0) recordAccountStart(state, hot);
    const small = { key: 0, account: `small-${now / 10 % 20}`, runMs: 50, now };
    recordAccountOffer(state, small);
    if (now % 400 < 200) recordAccountStart(state, small);
  }
  assert.ok(isOver("hot"));
  assert.ok(!isOver("small-0") && !isOver("unknown"));
  assert.ok(!isOverShare(state, { key: 1, account: "hot", runMs: 50 }));
});

test("accounts are bounded, and forgotten when they are gone", () => {
  const state = createFairSharingState();
  for (let n = 0; n < 50_000; n++) {
    const account = `a-${n}`;
    recordAccountOffer(state, { key: 0, account, runMs: 60, now: n / 10 });
    assert.ok((state.classes.get(0)?.accounts.size ?? 0) <= 1_024);
  }
  const last = { key: 1, account: "last", runMs: 60, now: 40_000 };
  recordAccountOffer(state, last);
  assert.equal(state.classes.get(0)?.accounts.size, 0);
  assert.equal(state.classes.get(1)?.accounts.size, 1);
});
