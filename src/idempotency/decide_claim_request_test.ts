import { test } from "node:test";
import assert from "node:assert/strict";
import {
  createClaimRequestState,
  decideClaimRequest,
} from "./decide_claim_request.ts";
import type { ClaimVerdict, RunOutcome } from "./messages.ts";
import type { ClaimRequestEffect, ClaimRequestState } from "./state.ts";

const readers = ["r0", "r1"];
const attempt = "n/1";

function ask(): ClaimRequestState {
  const state = createClaimRequestState("n");
  const event = { type: "asked", key: "k", digest: "d" } as const;
  decideClaimRequest(state, { ...event, deadlineAt: 100, readers, now: 0 });
  return state;
}

function hear(
  state: ClaimRequestState,
  verdict: ClaimVerdict,
  now: number,
): readonly ClaimRequestEffect[] {
  const message = { type: "once/verdict", attempt, verdict } as const;
  return decideClaimRequest(state, { type: "received", message, now });
}

function settle(state: ClaimRequestState, outcome: RunOutcome | undefined) {
  decideClaimRequest(state, {
    type: "settled",
    attempt,
    outcome,
    readers,
    now: 50,
  });
}

test("second settling changes nothing", () => {
  const state = ask();
  hear(state, { type: "won" }, 10);
  settle(state, { type: "unknown" });
  settle(state, undefined);
  assert.equal(state.attempts.get(attempt)?.end?.type, "outcome");
});

test("claim won past the deadline is released", () => {
  const state = ask();
  const [effect] = hear(state, { type: "won" }, 100);
  assert.ok(effect?.type === "resolve");
  assert.ok(effect.outcome.type === "refused" && effect.outcome.isNotRun);
  assert.equal(state.attempts.get(attempt)?.end?.type, "release");
});

test("running elsewhere is told at the deadline", () => {
  const state = ask();
  hear(state, { type: "held", isLive: true }, 10);
  const effects = decideClaimRequest(state, {
    type: "ticked",
    readers,
    now: 100,
  });
  const [effect] = effects;
  assert.ok(effect?.type === "resolve" && effect.outcome.type === "refused");
  assert.equal(effect.outcome.code, "LAGOON_ONCE_IN_PROGRESS");
  assert.equal(effect.outcome.isNotRun, false);
});

test("silent reader is passed over", () => {
  const state = ask();
  const [effect] = decideClaimRequest(state, {
    type: "ticked",
    readers,
    now: 99_999,
  });
  assert.equal(effect?.type, "resolve");
  const other = ask();
  const known = other.attempts.get(attempt);
  known!.nextAt = 50;
  const [again] = decideClaimRequest(other, {
    type: "ticked",
    readers,
    now: 60,
  });
  assert.ok(again?.type === "send" && again.to === "r1");
});

test("held answers are bounded", () => {
  const state = ask();
  state.heldBytes = 1024 * 1024;
  hear(state, { type: "won" }, 10);
  settle(state, { type: "answered", status: 200, headers: {}, body: "x" });
  const end = state.attempts.get(attempt)?.end;
  assert.ok(end?.type === "outcome" && end.outcome.type === "answered");
  assert.equal(end.outcome.body, undefined);
});
