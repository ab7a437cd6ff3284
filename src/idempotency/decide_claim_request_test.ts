import { test } from "node:test";
import assert from "node:assert/strict";
import {
  createClaimRequestState,
  decideClaimRequest,
} from "./decide_claim_request.ts";
import type { ClaimVerdict, RunOutcome } from "./messages.ts";
import type { ClaimRequestEffect, ClaimRequestState } from "./state.ts";

const READERS = ["r0", "r1"];
const ATTEMPT = "n/1";

function request(): ClaimRequestState {
  const state = createClaimRequestState("n");
  const event = { type: "asked", key: "k", digest: "d" } as const;
  decideClaimRequest(state, {
    ...event,
    deadlineAt: 100,
    readers: READERS,
    now: 0,
  });
  return state;
}

function receiveVerdict(
  state: ClaimRequestState,
  verdict: ClaimVerdict,
  now: number,
): readonly ClaimRequestEffect[] {
  const message = { type: "once/verdict", attempt: ATTEMPT, verdict } as const;
  return decideClaimRequest(state, { type: "received", message, now });
}

function settle(state: ClaimRequestState, outcome: RunOutcome | undefined) {
  decideClaimRequest(state, {
    type: "settled",
    attempt: ATTEMPT,
    outcome,
    readers: READERS,
    now: 50,
  });
}

test("second result of a run changes nothing", () => {
  const state = request();
  receiveVerdict(state, { type: "won" }, 10);
  settle(state, { type: "unknown" });
  settle(state, undefined);
  assert.equal(state.attempts.get(ATTEMPT)?.end?.type, "outcome");
});

test("claim won past the deadline is released", () => {
  const state = request();
  const [effect] = receiveVerdict(state, { type: "won" }, 100);
  assert.ok(effect?.type === "resolve");
  assert.ok(effect.outcome.type === "refused" && effect.outcome.isNotRun);
  assert.equal(state.attempts.get(ATTEMPT)?.end?.type, "release");
});

test("call whose key another running attempt holds is refused at the deadline", () => {
  const state = request();
  receiveVerdict(state, { type: "held", isLive: true }, 10);
  const effects = decideClaimRequest(state, {
    type: "ticked",
    readers: READERS,
    now: 100,
  });
  const [effect] = effects;
  assert.ok(effect?.type === "resolve" && effect.outcome.type === "refused");
  assert.equal(effect.outcome.code, "LAGOON_ONCE_IN_PROGRESS");
  assert.equal(effect.outcome.isNotRun, false);
});

test("unanswered claim is sent to the next reader", () => {
  const state = request();
  const [effect] = decideClaimRequest(state, {
    type: "ticked",
    readers: READERS,
    now: 99_999,
  });
  assert.equal(effect?.type, "resolve");
  const other = request();
  const known = other.attempts.get(ATTEMPT);
  known!.nextAt = 50;
  const [again] = decideClaimRequest(other, {
    type: "ticked",
    readers: READERS,
    now: 60,
  });
  assert.ok(again?.type === "send" && again.to === "r1");
});

test("an answer above the limit of held bytes is recorded without its body", () => {
  const state = request();
  state.heldBytes = 1024 * 1024;
  receiveVerdict(state, { type: "won" }, 10);
  settle(state, { type: "answered", status: 200, headers: {}, body: "x" });
  const end = state.attempts.get(ATTEMPT)?.end;
  assert.ok(end?.type === "outcome" && end.outcome.type === "answered");
  assert.equal(end.outcome.body, undefined);
});
