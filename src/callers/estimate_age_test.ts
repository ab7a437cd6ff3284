import { test } from "node:test";
import assert from "node:assert/strict";
import { createCallerTimeouts, estimateAgeMs } from "./estimate_age.ts";

test("a request with a shorter timeout than others is a retry", () => {
  const timeouts = createCallerTimeouts();
  assert.equal(estimateAgeMs(timeouts, "a", 800), 0);
  assert.equal(estimateAgeMs(timeouts, "a", 720), 0);
  const ageMs = estimateAgeMs(timeouts, "a", 500);
  assert.ok(ageMs > 150 && ageMs < 300);
  assert.equal(estimateAgeMs(timeouts, "b", 500), 0);
});

test("the effect of a single long timeout fades", () => {
  const timeouts = createCallerTimeouts();
  estimateAgeMs(timeouts, "a", 8_000);
  let ageMs = 0;
  for (let n = 0; n < 5_000; n++) ageMs = estimateAgeMs(timeouts, "a", 800);
  assert.equal(ageMs, 0);
});
