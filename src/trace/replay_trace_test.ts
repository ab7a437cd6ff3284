import { test } from "node:test";
import assert from "node:assert/strict";
import { createRecorder } from "./create_recorder.ts";
import { createConfigState } from "../config_log/create_config_state.ts";
import { decideConfig } from "../config_log/decide_config.ts";
import { encodeSnapshot } from "../config_log/encode_snapshot.ts";
import { replaySlices } from "./replay_slices.ts";
import { replayTrace } from "./replay_trace.ts";

interface Sum {
  total: number;
}

type Add = { amount: number; seen?: ReadonlySet<number>; of?: Sum };

const slices = {
  sum: {
    create: (options: { start: number }): Sum => ({ total: options.start }),
    decide: (state: Sum, event: Add) => {
      state.total += event.amount + (event.seen?.size ?? 0);
      return [{ total: state.total, twice: (event.of?.total ?? 0) * 2 }];
    },
  },
};

function record(): string[] {
  const lines: string[] = [];
  const recorder = createRecorder({
    node: "n1",
    binary: "test",
    write: (line) => lines.push(line),
    maxLength: 10_000,
  });
  const options = { start: 1 };
  const state = recorder.created("sum", options, slices.sum.create(options));
  const decide = recorder.traced("sum", slices.sum.decide);
  decide(state, { amount: 2 });
  decide(state, { amount: Infinity, seen: new Set([4, 5]), of: state });
  return lines;
}

function replay(lines: readonly string[]) {
  const decisions: unknown[] = [];
  const result = replayTrace({
    file: "sum.jsonl",
    lines,
    slices,
    onDecision: (decision) => decisions.push(decision),
  });
  return { result, decisions };
}

test("replay makes the recorded decisions", () => {
  const { result, decisions } = replay(record());
  assert.equal(result._unsafeUnwrap(), 2);
  assert.equal(decisions.length, 2);
});

test("replay reports the first event that diverges", () => {
  const lines = record().map((line) =>
    line.replace('"amount":2', '"amount":3')
  );
  const { result, decisions } = replay(lines);
  const err = result._unsafeUnwrapErr();
  assert.equal(err.step, "replay sum.jsonl:3");
  assert.match(err.message, /recorded .*"total":3.*replayed .*"total":4/);
  assert.equal(decisions.length, 0);
});

test("unknown slice is refused", () => {
  const lines = record().map((line) => line.replace('"sum"', '"none"'));
  assert.match(
    replay(lines).result._unsafeUnwrapErr().message,
    /slice none was not created/,
  );
});

test("recorder stops at its maximum length", () => {
  const lines: string[] = [];
  const recorder = createRecorder({
    node: "n1",
    binary: "test",
    write: (line) => lines.push(line),
    maxLength: 10,
  });
  recorder.created("sum", {}, {});
  assert.equal(lines.length, 1);
});

test("snapshot replaces the state of a slice", () => {
  const lines: string[] = [];
  const recorder = createRecorder({
    node: "n1",
    binary: "test",
    write: (line) => lines.push(line),
    maxLength: 10_000,
  });
  const state = recorder.created("config", {}, createConfigState());
  const fold = recorder.traced("config", decideConfig);
  const later = { ...createConfigState(), next: 8 };
  fold(state, { type: "snapshot", snapshot: encodeSnapshot(later) });
  fold(later, { type: "record", record: { offset: 8, body: "no record" } });
  const offsets: number[] = [];
  const result = replayTrace({
    file: "config.jsonl",
    lines,
    slices: replaySlices,
    onDecision: ({ state }) =>
      offsets.push((state as ReturnType<typeof createConfigState>).next),
  });
  assert.equal(result._unsafeUnwrap(), 2);
  assert.deepEqual(offsets, [8, 9]);
});

test("header starts another recording without states", () => {
  const nodes: string[] = [];
  const [header = "", created = "", decided = ""] = record();
  const result = replayTrace({
    file: "sum.jsonl",
    lines: [header, created, decided, header, decided],
    slices,
    onRecording: (node) => nodes.push(node),
    onDecision: () => {},
  });
  assert.deepEqual(nodes, ["n1", "n1"]);
  assert.match(result._unsafeUnwrapErr().message, /sum was not created/);
});
