import { test } from "node:test";
import assert from "node:assert/strict";
import { createCallerTimeouts, estimateAgeMs } from "./estimate_age.ts";

test("a caller with less time than others has come back", () => {
  const patience = createCallerTimeouts();
  assert.equal(estimateAgeMs(patience, "a", 800), 0);
  assert.equal(estimateAgeMs(patience, "a", 720), 0);
  const ageMs = estimateAgeMs(patience, "a", 500);
  assert.ok(ageMs > 150 && ageMs < 300);
  assert.equal(estimateAgeMs(patience, "b", 500), 0);
});

test("one patient caller does not age the others for good", () => {
  const patience = createCallerTimeouts();
  estimateAgeMs(patience, "a", 8_000);
  let ageMs = 0;
  for (let n = 0; n < 5_000; n++) ageMs = estimateAgeMs(patience, "a", 800);
  assert.equal(ageMs, 0);
});
