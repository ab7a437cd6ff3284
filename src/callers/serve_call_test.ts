import { request } from "node:http";
import { test, type TestContext } from "node:test";
import assert from "node:assert/strict";
import {
  CALLER_HOST,
  startTestCallers,
  type TestCallers,
} from "../testing/start_test_callers.ts";
import { createShutdownState } from "../shutdown/create_shutdown_state.ts";
import { waitFor } from "../../tools/wait_for.ts";
import { INLINE_BODY_BYTES } from "./describe_call.ts";

const LIMIT_MS = 60_000;

/** Longer than a body that is sent within the message of an attempt. */
const UPLOAD = Buffer.alloc(INLINE_BODY_BYTES + 1);

/** Begins an upload that finds no linked home node, and so waits for a link. */
async function beginUpload(t: TestContext, callers: TestCallers) {
  const req = request({
    port: callers.port,
    method: "POST",
    path: "/x",
    agent: false,
    headers: {
      host: CALLER_HOST,
      "call-id": "c-1",
      "wait-ms": "60000",
      "content-length": UPLOAD.length,
    },
  });
  const isRead = new Promise<void>((resolve) => {
    callers.server.once("request", (received) => received.once("end", resolve));
  });
  // The server closes the connection when the test ends.
  req.on("error", () => {});
  t.after(() => req.destroy());
  req.write(UPLOAD.subarray(1));
  const isTrue = () => callers.waiting() > 0;
  await waitFor({
    what: "the call waits for a link",
    limitMs: LIMIT_MS,
    isTrue,
  });
  return { req, isRead };
}

/** Ends the body and waits until the server has handled its end. */
async function endUpload(upload: Awaited<ReturnType<typeof beginUpload>>) {
  upload.req.end(UPLOAD.subarray(0, 1));
  await upload.isRead;
}

/** Starts an upload whose first attempt is made while a wait is open. */
async function startWaitedUpload(t: TestContext): Promise<TestCallers> {
  t.mock.timers.enable({ apis: ["setTimeout"] });
  const callers = await startTestCallers(t, { isIdempotent: false });
  const upload = await beginUpload(t, callers);
  callers.addHome("10.0.0.2:1");
  callers.addHome("10.0.0.3:1");
  await endUpload(upload);
  return callers;
}

// An upload ran at two endpoints: the wait for a link to a home node outlived
// the first attempt and started another.
test("upload runs once when a link opens after its first attempt", async (t) => {
  const callers = await startWaitedUpload(t);
  callers.reportLink();
  assert.equal(callers.attempts.length, 1);
});

test("upload runs once when its wait ends after its first attempt", async (t) => {
  const callers = await startWaitedUpload(t);
  t.mock.timers.tick(1_000);
  assert.equal(callers.attempts.length, 1);
});

// A call that waited for a link was refused as soon as its body had ended.
test("upload that ends without a home waits on for its link", async (t) => {
  t.mock.timers.enable({ apis: ["setTimeout"] });
  const callers = await startTestCallers(t, { isIdempotent: false });
  const upload = await beginUpload(t, callers);
  await endUpload(upload);
  callers.addHome("10.0.0.2:1");
  callers.reportLink();
  assert.equal(callers.attempts.length, 1);
});

/**
 * Sends a request without a body. Resolves with the status of its answer.
 * `onClose` learns whether the answer was complete.
 */
function sendSafe(
  callers: TestCallers,
  onClose: (isComplete: boolean) => void = () => {},
): Promise<number> {
  return new Promise((resolve, reject) => {
    request({
      port: callers.port,
      path: "/x",
      agent: false,
      headers: { host: CALLER_HOST, "call-id": "c-1", "wait-ms": "60000" },
    }, (res) => {
      res.resume();
      res.on("error", () => {});
      res.on("close", () => onClose(res.complete));
      resolve(res.statusCode ?? 0);
    }).on("error", reject).end();
  });
}

// A request that crashed three endpoints was sent on to the next ones.
test("call is not sent again after it crashed three endpoints", async (t) => {
  const callers = await startTestCallers(t, { maxAttempts: 9 });
  for (const host of [2, 3, 4, 5]) callers.addHome(`10.0.0.${host}:1`);
  const status = sendSafe(callers);
  for (const crashes of [1, 2, 3]) {
    await waitFor({
      what: "the next attempt was made",
      limitMs: LIMIT_MS,
      isTrue: () => callers.attempts.length === crashes,
    });
    const attempt = callers.attempts.at(-1);
    assert.equal(attempt?.call.crashes, crashes - 1);
    const failure = { reason: "reset", isTimeout: false, crashes };
    attempt?.emit({ type: "failed", failure });
  }
  assert.equal(await status, 502);
  assert.equal(callers.attempts.length, 3);
});

test("request that is known to crash endpoints is refused unsent", async (t) => {
  const callers = await startTestCallers(t, {}, { countCrashes: () => 3 });
  callers.addHome("10.0.0.2:1");
  assert.equal(await sendSafe(callers), 503);
  assert.equal(callers.attempts.length, 0);
});

const HEAD = { status: 200, headers: [] };

/** Starts a call whose answer is being forwarded, by its first attempt. */
async function startForwarded(t: TestContext, isHedged: boolean) {
  t.mock.timers.enable({ apis: ["setTimeout"] });
  const callers = await startTestCallers(t, { maxAttempts: 3 });
  callers.addHome("10.0.0.2:1");
  callers.addHome("10.0.0.3:1");
  let close: (isComplete: boolean) => void = () => {};
  const isComplete = new Promise<boolean>((resolve) => close = resolve);
  const status = sendSafe(callers, close);
  const isTrue = () => callers.attempts.length === 1;
  await waitFor({ what: "the call was sent", limitMs: LIMIT_MS, isTrue });
  const [first] = callers.attempts;
  assert.ok(first);
  if (isHedged) first.emit({ type: "overdue" });
  first.emit({ type: "answered", head: HEAD, body: undefined });
  first.emit({ type: "chunk", chunk: Buffer.from("part") });
  assert.equal(await status, 200);
  return { attempts: callers.attempts, first, isComplete };
}

// A second head ended the process, with all calls on it.
test("answer that is being forwarded cancels the other attempt", async (t) => {
  const { attempts, first } = await startForwarded(t, true);
  const [, second] = attempts;
  assert.equal(second?.isCancelled, true);
  second?.emit({ type: "answered", head: HEAD, body: Buffer.from("x") });
  first.emit({ type: "ended" });
});

test("overdue answer that is being forwarded is not hedged", async (t) => {
  const { attempts, first } = await startForwarded(t, false);
  first.emit({ type: "overdue" });
  assert.equal(attempts.length, 1);
  first.emit({ type: "answered", head: HEAD, body: Buffer.from("x") });
  first.emit({ type: "ended" });
});

// Callers held an answer of a silent home node until the node woke.
test("answer that is not ended after the deadline is aborted", async (t) => {
  const { first, isComplete } = await startForwarded(t, false);
  t.mock.timers.tick(60_000);
  assert.equal(first.isCancelled, false);
  t.mock.timers.tick(1_000);
  assert.equal(first.isCancelled, true);
  assert.equal(await isComplete, false);
});

/** Sends a call to a home node, then begins the shutdown of its own node. */
async function stopDuringCall(t: TestContext) {
  const callers = await startTestCallers(t);
  for (const host of [2, 3]) callers.addHome(`10.0.0.${host}:1`);
  const status = sendSafe(callers);
  const isTrue = () => callers.attempts.length === 1;
  await waitFor({ what: "the call was sent", limitMs: LIMIT_MS, isTrue });
  const now = callers.ctx.now();
  callers.drain(createShutdownState({ graceMs: 6_000, lagMs: 0, now }));
  return { callers, status };
}

// Homes ran calls, or kept them waiting, whose caller's node had ended.
test("shutdown tells home nodes when answers are of no more use", async (t) => {
  const { callers, status } = await stopDuringCall(t);
  const refusal = { by: "home", reason: "no-time", waitMs: 9 } as const;
  callers.attempts[0]?.emit({ type: "refused", refusal });
  const limits = callers.attempts.map(({ limitMs }) => limitMs ?? Infinity);
  assert.equal(limits.length, 2);
  for (const limitMs of limits) assert.ok(limitMs > 0 && limitMs < 5_300);
  callers.attempts[1]?.emit({ type: "refused", refusal });
  assert.equal(await status, 503);
});

test("call without any word of its home at the end gets 502", async (t) => {
  const { callers, status } = await stopDuringCall(t);
  callers.close();
  assert.equal(await status, 502);
});

/** Refuses the first attempt of a call since its home's queue is full. */
async function refuseFirst(t: TestContext, objectiveMs: number) {
  const callers = await startTestCallers(t, { objectiveMs });
  callers.addHome("10.0.0.2:1");
  callers.addHome("10.0.0.3:1");
  const status = sendSafe(callers);
  const isTrue = () => callers.attempts.length === 1;
  await waitFor({ what: "the call was sent", limitMs: LIMIT_MS, isTrue });
  const [first] = callers.attempts;
  const refusal = { by: "home", reason: "crowded", waitMs: 9 } as const;
  first?.emit({ type: "refused", refusal });
  return { attempts: callers.attempts, status };
}

test("call with a long deadline goes on from a full home", async (t) => {
  const { attempts, status } = await refuseFirst(t, 10_000);
  assert.equal(attempts.length, 2);
  assert.equal(attempts[1]?.call.deadlineRatio, 6);
  assert.equal(attempts[1]?.call.isRetry, true);
  attempts[1]?.emit({ type: "answered", head: HEAD, body: Buffer.from("x") });
  assert.equal(await status, 200);
});

test("call with a short deadline ends at a full home", async (t) => {
  const { attempts, status } = await refuseFirst(t, 15_000);
  assert.equal(await status, 503);
  assert.equal(attempts.length, 1);
});
