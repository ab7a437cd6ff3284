import { test } from "node:test";
import assert from "node:assert/strict";
import { beginCall } from "./begin_call.ts";
import { decideQuarantine } from "./decide_quarantine.ts";
import { levelOf, mergeRow } from "./merge_row.ts";
import type { QuarantineMessage } from "./messages.ts";
import { createQuarantineState } from "./state.ts";

const members = ["0", "1"];
const fingerprint = "f";

function createSuspected(crashes: readonly string[] = ["c"]) {
  const state = createQuarantineState("0", "0");
  mergeRow(state, { fingerprint, crashes, excused: [] }, 0);
  const hear = (message: QuarantineMessage) =>
    decideQuarantine(state, {
      type: "received",
      from: "1",
      message,
      members,
      now: 1,
    });
  const ask = (trial: string) => {
    const [effect] = hear({
      type: "quarantine/ask",
      fingerprint,
      trial,
      leftMs: 50,
    });
    assert.ok(effect?.type === "send");
    assert.ok(effect.message.type === "quarantine/answer");
    return effect.message.isGranted;
  };
  return { state, hear, ask };
}

const row = { fingerprint, crashes: ["c"], excused: [] };

test("suspect does not start without a trial", () => {
  const { state } = createSuspected();
  const began = beginCall({ state, endpoint: "e", fingerprint, trial: "" });
  assert.equal(began.type, "suspected");
});

test("convicted gets no trial", () => {
  assert.equal(createSuspected(["c", "d"]).ask("t"), false);
});

test("over of another trial frees nothing", () => {
  const { hear, ask } = createSuspected();
  assert.equal(ask("t"), true);
  hear({ type: "quarantine/over", fingerprint, trial: "other", row });
  assert.equal(ask("u"), false);
  hear({ type: "quarantine/over", fingerprint, trial: "t", row });
  assert.equal(ask("u"), true);
});

test("unwanted grant is given back", () => {
  const { hear } = createSuspected();
  const answer = { trial: "t", isGranted: true, row } as const;
  const [effect] = hear({ type: "quarantine/answer", ...answer });
  assert.ok(effect?.type === "send");
  assert.equal(effect.message.type, "quarantine/over");
});

test("broken answer excuses nothing", () => {
  const state = createQuarantineState("0", "0");
  const began = beginCall({ state, endpoint: "e", fingerprint, trial: "" });
  assert.ok(began.type === "started");
  mergeRow(state, row, 0);
  decideQuarantine(state, {
    type: "ended",
    endpoint: "e",
    call: began.call,
    isWhole: false,
    members,
    now: 1,
  });
  assert.equal(levelOf(state, fingerprint), "suspect");
});

test("crash is told at once", () => {
  const state = createQuarantineState("0", "0");
  beginCall({ state, endpoint: "e", fingerprint, trial: "" });
  const event = { type: "crashed", endpoint: "e", members, now: 1 } as const;
  const [effect] = decideQuarantine(state, event);
  assert.ok(effect?.type === "send" && effect.to === "1");
  assert.equal(effect.message.type, "quarantine/rows");
});
