import { test } from "node:test";
import assert from "node:assert/strict";
import { admitLink, createLinkTokens, LINK_BURST } from "./admit_link.ts";
import { backoffWithFullJitter } from "./backoff_with_full_jitter.ts";

test("links are admitted in a burst, then at a steady rate", () => {
  const tokens = createLinkTokens(0);
  const admitted = (now: number) => {
    // More tries than tokens, yet bounded, so that a broken limit fails.
    const tries = Array.from({ length: 1_000 }, () => admitLink(tokens, now));
    return tries.filter((isAdmitted) => isAdmitted).length;
  };
  assert.equal(admitted(0), LINK_BURST);
  assert.equal(admitted(1_000), 20);
  assert.equal(admitted(100_000), LINK_BURST);
});

test("backoff grows, is jittered and is bounded", () => {
  assert.equal(backoffWithFullJitter(1, 0), 0);
  assert.equal(backoffWithFullJitter(1, 1), 500);
  assert.equal(backoffWithFullJitter(3, 0.5), 1_000);
  assert.equal(backoffWithFullJitter(1_000, 1), 15_000);
});
