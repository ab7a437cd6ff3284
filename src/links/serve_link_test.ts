import { test } from "node:test";
import assert from "node:assert/strict";
import { type OfferedCall, RefusedBy } from "../calls/state.ts";
import { offeredCall } from "../testing/offered_call.ts";
import type { LinkMessage } from "./messages.ts";
import { serveLink } from "./serve_link.ts";

test("time that a call waited unread is subtracted from its times", () => {
  const offered: OfferedCall[] = [];
  const link = serveLink({
    home: {
      attempt(call) {
        offered.push(call);
        return { send() {}, finish() {}, limitAnswer() {}, cancel() {} };
      },
    },
    report: () => ({ running: 0, waiting: 0, meanMs: 0, routeMs: 0 }),
    lagMs: () => 1_900,
    now: () => 0,
    canAccept: () => true,
    onCallFault: (_id, err) => assert.fail(String(err)),
    send() {},
  });
  const call = offeredCall({ leftMs: 200, objectiveLeftMs: 60 });
  link.handle({ type: "offer", key: 1, call });
  assert.equal(offered[0]?.leftMs, -1_700);
  assert.equal(offered[0]?.objectiveLeftMs, -1_840);
});

test("time that a limit waited unread is subtracted from it", () => {
  const limits: number[] = [];
  const link = serveLink({
    home: {
      attempt: () => ({
        send() {},
        finish() {},
        limitAnswer: (leftMs) => limits.push(leftMs),
        cancel() {},
      }),
    },
    report: () => ({ running: 0, waiting: 0, meanMs: 0, routeMs: 0 }),
    lagMs: () => 400,
    now: () => 0,
    canAccept: () => true,
    onCallFault: (_id, err) => assert.fail(String(err)),
    send() {},
  });
  link.handle({ type: "limit-answer", key: 1, leftMs: 5_000 });
  link.handle({ type: "offer", key: 1, call: offeredCall({}) });
  link.handle({ type: "limit-answer", key: 1, leftMs: 5_000 });
  assert.deepEqual(limits, [4_600]);
});

test("an attempt event carries the time since its offer was received", () => {
  const sent: LinkMessage[] = [];
  let now = 100;
  let answer = () => {};
  const link = serveLink({
    home: {
      attempt(_call, onEvent) {
        answer = () => onEvent({ type: "ended" });
        return { send() {}, finish() {}, limitAnswer() {}, cancel() {} };
      },
    },
    report: () => ({ running: 0, waiting: 0, meanMs: 0, routeMs: 0 }),
    lagMs: () => 40,
    now: () => now,
    canAccept: () => true,
    onCallFault: (_id, err) => assert.fail(String(err)),
    send: (message) => sent.push(message),
  });
  link.handle({ type: "offer", key: 1, call: offeredCall({}) });
  now = 130;
  answer();
  const [event] = sent;
  assert.equal(event?.type === "event" && event.heldMs, 30);
});

test("a stopping node refuses calls of other nodes without running them", () => {
  const sent: LinkMessage[] = [];
  const link = serveLink({
    home: { attempt: () => assert.fail("the call was attempted") },
    report: () => ({ running: 0, waiting: 0, meanMs: 0, routeMs: 0 }),
    lagMs: () => 0,
    now: () => 0,
    canAccept: (leftMs) => leftMs <= 1_000,
    onCallFault: (_id, err) => assert.fail(String(err)),
    send: (message) => sent.push(message),
  });
  const call = offeredCall({ leftMs: 1_100 });
  link.handle({ type: "offer", key: 1, call });
  const [message] = sent;
  assert.ok(message?.type === "event" && message.event.type === "refused");
  assert.equal(message.event.refusal.by, RefusedBy.Home);
});

test("error in the handling of one call fails that call only", () => {
  const sent: LinkMessage[] = [];
  const faults: string[] = [];
  const link = serveLink({
    home: {
      attempt(call) {
        if (call.id === "r-1") throw new Error("thrown by the home");
        return {
          send() {
            throw new Error("thrown by the attempt");
          },
          finish() {},
          limitAnswer() {},
          cancel() {},
        };
      },
    },
    report: () => ({ running: 0, waiting: 0, meanMs: 0, routeMs: 0 }),
    lagMs: () => 0,
    now: () => 0,
    canAccept: () => true,
    onCallFault: (id) => faults.push(id),
    send: (message) => sent.push(message),
  });
  for (const key of [1, 2, 3]) {
    const call = offeredCall({ id: `r-${key}` });
    link.handle({ type: "offer", key, call });
  }
  link.handle({ type: "body", key: 2, chunk: Buffer.from("part") });
  link.handle({ type: "body-end", key: 3 });
  assert.deepEqual(faults, ["r-1", "r-2"]);
  const failed = sent.flatMap((one) =>
    one.type === "event" && one.event.type === "failed" ? [one.key] : []
  );
  assert.deepEqual(failed, [1, 2]);
});
