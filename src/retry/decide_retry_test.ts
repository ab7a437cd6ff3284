import { test } from "node:test";
import assert from "node:assert/strict";
import fc from "fast-check";
import { checkProperty } from "../testing/check_property.ts";
import { decideRetry } from "./decide_retry.ts";
import type { CallEnd } from "./messages.ts";
import {
  createRetryState,
  MAX_ATTEMPTS,
  MAX_RETRY_BUDGET,
  RETRIES_PER_SERVED_CALL,
  type RetryCall,
} from "./state.ts";

const ends = fc.constantFrom<CallEnd>(
  { type: "answered", status: 200, load: 0 },
  { type: "answered", status: 500, load: 0 },
  { type: "not-run", code: "LAGOON_CALL_OVERLOADED", reason: "", status: 503 },
  { type: "not-run", code: "LAGOON_PEER_KEY", reason: "", status: 401 },
  { type: "unknown", reason: "", isLate: false },
  { type: "unknown", reason: "", isLate: true },
  { type: "cut", reason: "" },
  { type: "cancelled" },
);

const calls: fc.Arbitrary<RetryCall> = fc.record({
  attempts: fc.integer({ min: 1, max: MAX_ATTEMPTS }),
  isRepeatable: fc.boolean(),
  canResend: fc.boolean(),
  leftMs: fc.integer({ min: -5, max: 100 }),
});

test("only calls that did not run or may run twice are retried", () => {
  checkProperty(
    fc.property(ends, calls, (end, call) => {
      const effect = decideRetry(createRetryState(), {
        type: "ended",
        end,
        call,
      });
      if (effect.type === "keep") return;
      const isNotRun = end.type === "not-run" && end.status === 503;
      const isSafe = end.type === "unknown" && call.isRepeatable;
      assert.ok(isNotRun || isSafe);
      assert.ok(call.canResend && call.leftMs > 0);
      assert.ok(call.attempts < MAX_ATTEMPTS);
    }),
    { runs: 500 },
  );
});

test("retries stay within the budget", () => {
  checkProperty(
    fc.property(fc.array(fc.tuple(ends, calls), { maxLength: 300 }), (all) => {
      const state = createRetryState();
      let served = 0;
      let retries = 0;
      for (const [end, call] of all) {
        if (end.type === "answered" && end.status < 500) served++;
        const effect = decideRetry(state, { type: "ended", end, call });
        if (effect.type === "retry") retries++;
      }
      assert.ok(retries <= MAX_RETRY_BUDGET + served * RETRIES_PER_SERVED_CALL);
    }),
    { runs: 100 },
  );
});

test("a storm of refusals exhausts the budget", () => {
  const state = createRetryState();
  const call = { attempts: 1, isRepeatable: true, canResend: true, leftMs: 9 };
  const code = "LAGOON_CALL_OVERLOADED" as const;
  const end = { type: "not-run", code, reason: "", status: 503 } as const;
  const effects = Array.from(
    { length: 100 },
    () => decideRetry(state, { type: "ended", end, call }),
  );
  const retries = effects.filter((one) => one.type === "retry").length;
  assert.equal(retries, MAX_RETRY_BUDGET);
});

test("overdue call is retried only if it is repeatable", () => {
  const call = { attempts: 1, isRepeatable: false, canResend: true, leftMs: 9 };
  const state = createRetryState();
  const decide = (isRepeatable: boolean) =>
    decideRetry(state, { type: "overdue", call: { ...call, isRepeatable } });
  assert.equal(decide(false).type, "keep");
  assert.equal(decide(true).type, "retry");
});
