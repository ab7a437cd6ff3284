import { test } from "node:test";
import assert from "node:assert/strict";
import {
  applyBeat,
  createBeatState,
  dropOldBeats,
  healthyReaders,
  type ReaderBeat,
  silenceOf,
  statusOfNode,
} from "./apply_beat.ts";
import { ReaderStatus } from "./state.ts";

function beatOf(seq: number, change: Partial<ReaderBeat> = {}): ReaderBeat {
  return {
    node: "a",
    domain: "d1",
    startedAt: 5,
    seq,
    readerStatus: ReaderStatus.Healthy,
    end: 9,
    ...change,
  };
}

test("older beat of a reader is ignored, also from an earlier process", () => {
  const state = createBeatState();
  assert.ok(applyBeat(state, beatOf(2), 0));
  const idle = { readerStatus: ReaderStatus.Idle };
  assert.ok(!applyBeat(state, beatOf(1, idle), 0));
  assert.ok(!applyBeat(state, beatOf(7, { ...idle, startedAt: 4 }), 0));
  assert.equal(statusOfNode(state, "a", 0), ReaderStatus.Healthy);
  assert.ok(applyBeat(state, beatOf(0, { ...idle, startedAt: 6 }), 0));
  assert.equal(statusOfNode(state, "a", 0), ReaderStatus.Idle);
});

test("announced silence lasts until the reader's next beat", () => {
  const state = createBeatState();
  assert.equal(silenceOf(state, "a"), undefined);
  applyBeat(state, beatOf(2), 0);
  const silence = silenceOf(state, "a");
  assert.ok(silence && applyBeat(state, silence, 0));
  assert.deepEqual(healthyReaders(state, 0), []);
  assert.ok(!applyBeat(state, beatOf(2), 0));
  assert.ok(applyBeat(state, beatOf(3), 0));
  assert.deepEqual(healthyReaders(state, 0), ["a"]);
});

test("reader without beats for a minute is forgotten", () => {
  const state = createBeatState();
  applyBeat(state, beatOf(2), 0);
  assert.deepEqual(healthyReaders(state, 60_000), []);
  dropOldBeats(state, 60_000);
  assert.equal(state.beats.size, 0);
});
