import { test } from "node:test";
import assert from "node:assert/strict";
import { beginCall } from "./begin_call.ts";
import { decideQuarantine } from "./decide_quarantine.ts";
import { levelOf, mergeRow } from "./merge_row.ts";
import type { QuarantineMessage } from "./messages.ts";
import { createQuarantineState } from "./state.ts";

const MEMBERS = ["0", "1"];
const FINGERPRINT = "f";

function createWithSuspect(crashes: readonly string[] = ["c"]) {
  const state = createQuarantineState("0", "0");
  mergeRow(state, { fingerprint: FINGERPRINT, crashes, excused: [] }, 0);
  const receive = (message: QuarantineMessage) =>
    decideQuarantine(state, {
      type: "received",
      from: "1",
      message,
      members: MEMBERS,
      now: 1,
    });
  const ask = (trial: string) => {
    const [effect] = receive({
      type: "quarantine/ask",
      fingerprint: FINGERPRINT,
      trial,
      leftMs: 50,
    });
    assert.ok(effect?.type === "send");
    assert.ok(effect.message.type === "quarantine/answer");
    return effect.message.isGranted;
  };
  return { state, receive, ask };
}

const ROW = { fingerprint: FINGERPRINT, crashes: ["c"], excused: [] };

test("suspect does not start without an isolated run", () => {
  const { state } = createWithSuspect();
  const began = beginCall({
    state,
    endpoint: "e",
    fingerprint: FINGERPRINT,
    trial: "",
  });
  assert.equal(began.type, "suspected");
});

test("quarantined request does not get an isolated run", () => {
  assert.equal(createWithSuspect(["c", "d"]).ask("t"), false);
});

test("end of another isolated run does not release the grant", () => {
  const { receive, ask } = createWithSuspect();
  assert.equal(ask("t"), true);
  receive({
    type: "quarantine/over",
    fingerprint: FINGERPRINT,
    trial: "other",
    row: ROW,
  });
  assert.equal(ask("u"), false);
  receive({
    type: "quarantine/over",
    fingerprint: FINGERPRINT,
    trial: "t",
    row: ROW,
  });
  assert.equal(ask("u"), true);
});

test("grant for a call that no longer waits is returned", () => {
  const { receive } = createWithSuspect();
  const answer = { trial: "t", isGranted: true, row: ROW } as const;
  const [effect] = receive({ type: "quarantine/answer", ...answer });
  assert.ok(effect?.type === "send");
  assert.equal(effect.message.type, "quarantine/over");
});

test("incomplete answer does not clear a suspect", () => {
  const state = createQuarantineState("0", "0");
  const began = beginCall({
    state,
    endpoint: "e",
    fingerprint: FINGERPRINT,
    trial: "",
  });
  assert.ok(began.type === "started");
  mergeRow(state, ROW, 0);
  decideQuarantine(state, {
    type: "ended",
    endpoint: "e",
    call: began.call,
    isWhole: false,
    members: MEMBERS,
    now: 1,
  });
  assert.equal(levelOf(state, FINGERPRINT), "suspect");
});

test("crash is sent to members immediately", () => {
  const state = createQuarantineState("0", "0");
  beginCall({ state, endpoint: "e", fingerprint: FINGERPRINT, trial: "" });
  const event = {
    type: "crashed",
    endpoint: "e",
    members: MEMBERS,
    now: 1,
  } as const;
  const [effect] = decideQuarantine(state, event);
  assert.ok(effect?.type === "send" && effect.to === "1");
  assert.equal(effect.message.type, "quarantine/rows");
});
