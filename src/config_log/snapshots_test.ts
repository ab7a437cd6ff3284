import { test } from "node:test";
import assert from "node:assert/strict";
import { createConfigState } from "./create_config_state.ts";
import {
  createSnapshotState,
  decideSnapshot,
  SNAPSHOT_GRACE_MS,
} from "./decide_snapshot.ts";
import { encodeSnapshot } from "./encode_snapshot.ts";
import { createSnapshotSearch, findSnapshot } from "./find_snapshot.ts";
import { foldRecord } from "./fold_record.ts";
import type { LogRecord, SnapshotRecord } from "./messages.ts";
import { MAX_CHUNK_LENGTH, splitSnapshot } from "./split_snapshot.ts";
import type { ConfigState } from "./state.ts";

const POLICY = { everyRecords: 10, everyMs: 1_000_000 };

function bodyOf(record: SnapshotRecord, writer = "w", seq = 1): string {
  return JSON.stringify({ writer, seq, at: "", record });
}

/** Returns the two chunks of a complete snapshot through `through`. */
function chunksOf(through: number): SnapshotRecord[] {
  const state = createConfigState();
  state.next = through + 1;
  const [one] = splitSnapshot(encodeSnapshot(state));
  if (one === undefined) return [];
  const half = one.data.length / 2;
  const parts = [one.data.slice(0, half), one.data.slice(half)];
  return parts.map((data, chunk) => ({ ...one, chunk, chunks: 2, data }));
}

function find(bodies: readonly string[], oldest: number) {
  const records: LogRecord[] = bodies.map((body, at) => ({
    offset: oldest + at,
    body,
  }));
  const skipped: string[] = [];
  const found = findSnapshot({
    search: createSnapshotSearch(),
    records,
    oldest,
    onSkipped: (err) => skipped.push(err.code),
  });
  return { through: found?.through, skipped };
}

function foldBodies(bodies: readonly string[]): ConfigState {
  const state = createConfigState();
  for (const body of bodies) {
    foldRecord({ state, record: { offset: state.next, body } });
  }
  return state;
}

test("large snapshot is split and joined unchanged", () => {
  const data = "x".repeat(MAX_CHUNK_LENGTH * 2 + 1);
  const records = splitSnapshot({ through: 1, hash: "h", data });
  assert.equal(records.length, 3);
  assert.equal(records.map((one) => one.data).join(""), data);
});

test("newest complete snapshot is found", () => {
  const bodies = [...chunksOf(5), ...chunksOf(9)].map((one) => bodyOf(one));
  assert.deepEqual(find(bodies, 4), { through: 9, skipped: [] });
});

test("incomplete snapshot is skipped", () => {
  const bodies = [...chunksOf(5), ...chunksOf(9).slice(0, 1)];
  assert.equal(find(bodies.map((one) => bodyOf(one)), 4).through, 5);
});

test("corrupt snapshot is skipped with an error", () => {
  const corrupt = chunksOf(9).map((one) => ({ ...one, data: `${one.data}A` }));
  const bodies = [...chunksOf(5), ...corrupt].map((one) => bodyOf(one));
  assert.deepEqual(find(bodies, 4), {
    through: 5,
    skipped: ["LAGOON_SNAPSHOT_CORRUPT"],
  });
});

test("chunks of two writers don't mix", () => {
  const [first, second] = chunksOf(5);
  if (first === undefined || second === undefined) return assert.fail();
  const bodies = [bodyOf(first, "a"), bodyOf(second, "b")];
  assert.equal(find(bodies, 4).through, undefined);
});

test("snapshot is skipped when records after it are gone", () => {
  const bodies = chunksOf(5).map((one) => bodyOf(one));
  assert.equal(find(bodies, 6).through, 5);
  assert.equal(find(bodies, 7).through, undefined);
});

test("fold records complete snapshots only", () => {
  const [first, second] = chunksOf(0);
  if (first === undefined || second === undefined) return assert.fail();
  const through = 1;
  const bodies = [
    "{torn",
    bodyOf({ ...first, through }, "w", 1),
    bodyOf({ ...second, through }, "w", 2),
  ];
  assert.equal(foldBodies(bodies.slice(0, 2)).snapshotThrough, 0);
  const again = bodyOf({ ...second, through }, "w", 3);
  const withoutFirst = ["{torn", bodies[2] ?? "", again];
  assert.equal(foldBodies(withoutFirst).snapshotThrough, 0);
  assert.equal(foldBodies(bodies).snapshotThrough, 1);
});

test("snapshot with a future offset is refused", () => {
  const [one] = splitSnapshot({ through: 99, hash: "h", data: "x" });
  if (one === undefined) return assert.fail();
  assert.equal(foldBodies([bodyOf(one)]).snapshotThrough, 0);
});

function changedState(records: number): ConfigState {
  return { ...createConfigState(), next: records + 1, version: 1 };
}

function decide(
  state: ReturnType<typeof createSnapshotState>,
  config: ConfigState,
  now: number,
  isReader = true,
): boolean {
  return decideSnapshot({
    state,
    policy: POLICY,
    config,
    isReader,
    now,
    random: 0.5,
  });
}

test("reader writes a snapshot after enough records", () => {
  const state = createSnapshotState(0);
  assert.equal(decide(state, changedState(9), 0), false);
  assert.equal(decide(state, changedState(10), 0), false);
  assert.equal(decide(state, changedState(10), 5_000), true);
  assert.equal(decide(state, changedState(10), 5_001), false);
});

test("nodes that are not readers write no snapshot", () => {
  const state = createSnapshotState(0);
  assert.equal(decide(state, changedState(10), 0, false), false);
  assert.equal(decide(state, changedState(10), 60_000, false), false);
});

test("begun snapshot delays those of other writers", () => {
  const state = createSnapshotState(0);
  const config = changedState(10);
  decide(state, config, 0);
  config.snapshotsBegun.set("w h", { through: 10, found: 1 });
  assert.equal(decide(state, config, 5_000), false);
  assert.equal(decide(state, config, 5_000 + SNAPSHOT_GRACE_MS + 5_000), true);
});

test("new snapshot is written after the maximum time", () => {
  const state = createSnapshotState(0);
  const config = { ...changedState(3), snapshotThrough: 2 };
  decide(state, config, 0);
  decide(state, config, POLICY.everyMs);
  assert.equal(decide(state, config, POLICY.everyMs + 5_000), true);
});
