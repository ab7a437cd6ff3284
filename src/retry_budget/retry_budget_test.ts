import { test } from "node:test";
import assert from "node:assert/strict";
import { addRequest, spendRetry } from "./spend_retry.ts";
import { createRetryBudgetState } from "./state.ts";

const TERMS = { ratio: 0.2, slack: 60, windowMs: 10_000 };

test("retries of all nodes stay within ratio and slack in any window", () => {
  const nodes = 12;
  const states = Array.from({ length: nodes }, createRetryBudgetState);
  const sent: { at: number; isRetry: boolean }[] = [];
  for (let now = 0; now < 40_000; now += 10) {
    const state = states[(now / 10) % nodes];
    assert.ok(state);
    addRequest(state, TERMS, "one", now);
    sent.push({ at: now, isRetry: false });
    for (let n = 0; n < 3; n++) {
      const opts = { terms: TERMS, service: "one", nodes, hasRun: false, now };
      if (spendRetry(state, opts)) sent.push({ at: now, isRetry: true });
    }
  }
  for (let from = 0; from < 30_000; from += 500) {
    const window = sent.filter(({ at }) =>
      at >= from && at < from + TERMS.windowMs
    );
    const retries = window.filter((one) => one.isRetry).length;
    const requests = window.length - retries;
    assert.ok(retries <= requests * TERMS.ratio + TERMS.slack);
  }
  assert.ok(sent.some((one) => one.isRetry));
});

test("each service has its own budget", () => {
  const state = createRetryBudgetState();
  const spend = (service: string) =>
    spendRetry(state, {
      terms: TERMS,
      service,
      nodes: 12,
      hasRun: false,
      now: 0,
    });
  while (spend("one"));
  assert.ok(spend("two"));
});

test("retry after a run costs as much as three other retries", () => {
  const count = (hasRun: boolean) => {
    const state = createRetryBudgetState();
    const opts = { terms: TERMS, service: "one", nodes: 1, hasRun, now: 0 };
    let spent = 0;
    while (spendRetry(state, opts)) spent++;
    return spent;
  };
  assert.equal(count(true), Math.floor(count(false) / 3));
});
