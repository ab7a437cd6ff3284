import { test } from "node:test";
import assert from "node:assert/strict";
import { backoffWithHalfJitter } from "./backoff_with_half_jitter.ts";

test("backoff doubles up to its limit, with jitter", () => {
  const bounds = { firstMs: 100, longestMs: 1_000 };
  assert.equal(backoffWithHalfJitter(bounds, 0, 0), 50);
  assert.equal(backoffWithHalfJitter(bounds, 0, 1), 100);
  assert.equal(backoffWithHalfJitter(bounds, 2, 1), 400);
  assert.equal(backoffWithHalfJitter(bounds, 99, 1), 1_000);
});
