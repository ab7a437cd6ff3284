import { test } from "node:test";
import assert from "node:assert/strict";
import { longDeadlineShare } from "./deadline_share.ts";
import { type AttemptEnd, decideNext } from "./decide_next.ts";
import { retryAfterMs } from "./retry_after.ts";
import { RefusedBy } from "./state.ts";

const refusedBy = (by: RefusedBy, reason = "late"): AttemptEnd => ({
  type: "refused",
  refusal: { by, reason, waitMs: 10 },
});
const answered = (status: number): AttemptEnd => ({
  type: "answered",
  head: { status, headers: [] },
});
const failed = (isTimeout = false): AttemptEnd => ({
  type: "failed",
  failure: { reason: "reset", isTimeout, crashes: 0 },
});

function next(end: AttemptEnd, change: object = {}) {
  return decideNext({
    end,
    isIdempotent: true,
    offers: 1,
    arrivals: 1,
    maxArrivals: 2,
    mayHaveRun: false,
    wasFull: false,
    deadlineRatio: 4,
    leftMs: 500,
    canResend: true,
    spend: () => true,
    ...change,
  });
}

test("call that is not idempotent is not retried after a possible run", () => {
  const change = { isIdempotent: false, mayHaveRun: true };
  assert.deepEqual(next(failed(), change), { type: "give-up", status: 502 });
  assert.deepEqual(next(failed(true), change), {
    type: "give-up",
    status: 504,
  });
  assert.deepEqual(next(answered(500), change), { type: "forward" });
});

test("refusal after a possible run is answered with 502, not 503", () => {
  const change = { mayHaveRun: true, offers: 99 };
  const step = next(refusedBy(RefusedBy.Home), change);
  assert.deepEqual(step, { type: "give-up", status: 502 });
});

test("refusal by a home costs no retry budget", () => {
  const spend = () => assert.fail("spent");
  const change = { arrivals: 0, spend, isIdempotent: false };
  const step = next(refusedBy(RefusedBy.Home), change);
  assert.deepEqual(step, {
    type: "attempt",
    mayBeLate: false,
    onlyFree: false,
  });
});

test("misdirected call goes to another home and costs no retry budget", () => {
  const spend = () => assert.fail("spent");
  const change = { arrivals: 0, spend, isIdempotent: false };
  const end = refusedBy(RefusedBy.Home, "misdirected");
  assert.equal(next(end, change).type, "attempt");
  assert.deepEqual(next(end, { ...change, offers: 99 }), {
    type: "give-up",
    status: 503,
  });
});

test("late answer is accepted after two refusals as late", () => {
  const end = refusedBy(RefusedBy.Home);
  const step = next(end, { arrivals: 0, offers: 2 });
  assert.deepEqual(step, { type: "attempt", mayBeLate: true, onlyFree: false });
});

test("late answer is accepted after one refusal if the home was full", () => {
  const end = refusedBy(RefusedBy.Home);
  const mayBeLate = (wasFull: boolean) => {
    const step = next(end, { arrivals: 0, offers: 1, wasFull });
    return step.type === "attempt" && step.mayBeLate;
  };
  assert.equal(mayBeLate(false), false);
  assert.equal(mayBeLate(true), true);
});

test("refusal by an endpoint is retried within budget and attempts", () => {
  const end = refusedBy(RefusedBy.Endpoint, "full");
  assert.equal(next(end, { isIdempotent: false }).type, "attempt");
  assert.equal(next(end, { spend: () => false }).type, "give-up");
  assert.equal(next(end, { arrivals: 2 }).type, "give-up");
});

test("idempotent call is retried after a failure, within budget", () => {
  assert.equal(next(answered(500)).type, "attempt");
  assert.equal(next(answered(200)).type, "forward");
  assert.equal(next(answered(404)).type, "forward");
  assert.equal(next(answered(500), { spend: () => false }).type, "forward");
  assert.equal(next(failed(), { canResend: false }).type, "give-up");
});

test("retry delay is random, and at most a third of the time left", () => {
  const at = (random: number, leftMs = 900) =>
    retryAfterMs({ waitMs: 100, leftMs, random });
  assert.equal(at(0), 50);
  assert.equal(at(1), 150);
  assert.equal(at(1, 300), 100);
});

const LONG = { arrivals: 0, deadlineRatio: 6 };

test("call with a long deadline is queued after one refusal as late", () => {
  const step = next(refusedBy(RefusedBy.Home), { ...LONG, wasFull: false });
  assert.equal(step.type === "attempt" && step.mayBeLate, true);
});

test("call with a long deadline leaves a full queue for a free home", () => {
  const end = refusedBy(RefusedBy.Home, "crowded");
  const step = next(end, LONG);
  assert.equal(step.type === "attempt" && step.onlyFree, true);
  assert.equal(next(end, { ...LONG, offers: 4 }).type, "give-up");
  assert.equal(next(end, { ...LONG, deadlineRatio: 4 }).type, "give-up");
});

test("share of a long deadline is continuous, and 0 up to four objectives", () => {
  const shares = [undefined, 1.5, 4.2, 4.625, 5, 9].map(longDeadlineShare);
  assert.deepEqual(shares, [0, 0, 0, 0.5, 1, 1]);
});
