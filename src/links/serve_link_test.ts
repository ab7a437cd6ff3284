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
        return { send() {}, finish() {}, cancel() {} };
      },
    },
    report: () => ({ running: 0, waiting: 0, meanMs: 0, routeMs: 0 }),
    lagMs: () => 1_900,
    now: () => 0,
    canAccept: () => true,
    send() {},
  });
  const call = offeredCall({ leftMs: 200, objectiveLeftMs: 60 });
  link.handle({ type: "offer", key: 1, call });
  assert.equal(offered[0]?.leftMs, -1_700);
  assert.equal(offered[0]?.objectiveLeftMs, -1_840);
});

test("an attempt event carries the time since its offer was received", () => {
  const sent: LinkMessage[] = [];
  let now = 100;
  let answer = () => {};
  const link = serveLink({
    home: {
      attempt(_call, onEvent) {
        answer = () => onEvent({ type: "ended" });
        return { send() {}, finish() {}, cancel() {} };
      },
    },
    report: () => ({ running: 0, waiting: 0, meanMs: 0, routeMs: 0 }),
    lagMs: () => 40,
    now: () => now,
    canAccept: () => true,
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
    send: (message) => sent.push(message),
  });
  const call = offeredCall({ leftMs: 1_100 });
  link.handle({ type: "offer", key: 1, call });
  const [message] = sent;
  assert.ok(message?.type === "event" && message.event.type === "refused");
  assert.equal(message.event.refusal.by, RefusedBy.Home);
});
