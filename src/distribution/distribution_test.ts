import { test } from "node:test";
import assert from "node:assert/strict";
import { createHash } from "node:crypto";
import fc from "fast-check";
import type { LogRecord } from "../config_log/messages.ts";
import { buildRing } from "../overlay/build_ring.ts";
import { checkProperty } from "../testing/check_property.ts";
import { BACKUP_DELAY_MS, decideDistribution } from "./decide_distribution.ts";
import type { DistributionMessage } from "./messages.ts";
import { pickReaders } from "./pick_readers.ts";
import {
  createDistributionState,
  type DistributionEffect,
  type DistributionEvent,
  type DistributionState,
  type OverlayView,
} from "./state.ts";

interface Sent {
  readonly from: string;
  readonly to: string;
  readonly message: DistributionMessage;
}

interface Fleet {
  readonly states: Map<string, DistributionState>;
  readonly dead: Set<string>;
  readonly followers: Set<string>;
  queue: Sent[];
  snapshots: number;
  diverged: number;
}

const idsOf = (count: number) =>
  Array.from({ length: count }, (_, index) => `n:${index + 1}`);

const recordsOf = (from: number, count: number): LogRecord[] =>
  Array.from({ length: count }, (_, index) => ({
    offset: from + index,
    body: `record ${from + index}`,
  }));

function viewOf(fleet: Fleet): OverlayView {
  const ids = [...fleet.states.keys()].filter((id) => !fleet.dead.has(id));
  const readers = pickReaders(ids, "zone-a");
  return { ring: buildRing(ids), readers, gateways: [] };
}

function startFleet(count: number): Fleet {
  const states = new Map(
    idsOf(count).map((id) => [id, createDistributionState(id, 1)]),
  );
  const dead = new Set<string>();
  const followers = new Set<string>();
  return { states, dead, followers, queue: [], snapshots: 0, diverged: 0 };
}

function digestOf(digest: string, records: readonly LogRecord[]): string {
  return records.reduce(
    (chain, one) =>
      createHash("sha256").update(chain).update(one.body).digest("hex"),
    digest,
  );
}

function run(fleet: Fleet, id: string, event: DistributionEvent) {
  const state = fleet.states.get(id);
  if (state === undefined || fleet.dead.has(id)) return;
  for (const effect of decideDistribution(state, event)) {
    apply(fleet, id, state, effect);
  }
}

function apply(
  fleet: Fleet,
  id: string,
  state: DistributionState,
  effect: DistributionEffect,
) {
  switch (effect.type) {
    case "send":
      fleet.queue.push({ from: id, to: effect.to, message: effect.message });
      break;
    case "fold": {
      const { records } = effect;
      assert.equal(records[0]?.offset, state.next);
      const digest = digestOf(state.digest, records);
      const next = state.next + records.length;
      run(fleet, id, { type: "folded", next, digest, records });
      break;
    }
    case "send-snapshot": {
      fleet.snapshots++;
      const snapshot = {
        through: state.next - 1,
        hash: "",
        data: state.digest,
      };
      const message = { type: "distribution/snapshot", snapshot } as const;
      fleet.queue.push({ from: id, to: effect.to, message });
      break;
    }
    case "load-snapshot": {
      const { through, data: digest } = effect.snapshot;
      const next = through + 1;
      run(fleet, id, { type: "folded", next, digest, records: [] });
      break;
    }
    case "follow":
      if (effect.isReader) fleet.followers.add(id);
      else fleet.followers.delete(id);
      break;
    case "diverged":
      fleet.diverged++;
      break;
  }
}

function deliver(fleet: Fleet, now: number) {
  for (let sent = fleet.queue.shift(); sent; sent = fleet.queue.shift()) {
    const { from, to, message } = sent;
    if (fleet.dead.has(from)) continue;
    const view = viewOf(fleet);
    run(fleet, to, { type: "received", now, view, from, message });
  }
}

function tick(fleet: Fleet, now: number, random = 0.5) {
  const view = viewOf(fleet);
  for (const id of fleet.states.keys()) {
    run(fleet, id, { type: "ticked", now, view, random });
  }
  deliver(fleet, now);
}

function read(fleet: Fleet, now: number, log: readonly LogRecord[]) {
  for (const id of fleet.followers) {
    const next = fleet.states.get(id)?.next ?? 1;
    const records = log.filter((one) => one.offset >= next);
    run(fleet, id, { type: "read", now, view: viewOf(fleet), records });
  }
}

const nextOf = (fleet: Fleet) =>
  [...fleet.states].filter(([id]) => !fleet.dead.has(id))
    .map(([, state]) => state.next);

test("one broadcast reaches all members", () => {
  const fleet = startFleet(100);
  tick(fleet, 0);
  read(fleet, 1, recordsOf(1, 1));
  assert.ok(fleet.queue.length <= 7);
  deliver(fleet, 1);
  assert.ok(nextOf(fleet).every((next) => next === 2));
});

test("second reader broadcasts the records that the first has not", () => {
  const fleet = startFleet(20);
  tick(fleet, 0);
  const [first = ""] = viewOf(fleet).readers;
  fleet.followers.delete(first);
  read(fleet, 1, recordsOf(1, 2));
  assert.equal(fleet.queue.length, 0);
  tick(fleet, 1 + BACKUP_DELAY_MS);
  assert.ok(nextOf(fleet).every((next) => next === 3));
});

test("second reader does not repeat the first one's broadcast", () => {
  const fleet = startFleet(20);
  tick(fleet, 0);
  read(fleet, 1, recordsOf(1, 2));
  deliver(fleet, 1);
  const second = fleet.states.get(viewOf(fleet).readers[1] ?? "");
  assert.equal(second?.pendingBroadcast, undefined);
});

test("all nodes reach the head after any faults", () => {
  const faults = fc.array(
    fc.record({
      kind: fc.constantFrom("lose", "double", "swap", "die", "return"),
      pick: fc.nat(1_000),
    }),
    { maxLength: 40 },
  );
  checkProperty(
    fc.property(fc.integer({ min: 3, max: 24 }), faults, (count, all) => {
      const fleet = startFleet(count);
      const ids = idsOf(count);
      const log: LogRecord[] = [];
      let now = 0;
      tick(fleet, now);
      for (const { kind, pick } of all) {
        now += 1_000;
        log.push(...recordsOf(log.length + 1, 1 + pick % 3));
        read(fleet, now, log);
        const id = ids[pick % count] ?? "";
        if (kind === "lose") fleet.queue = fleet.queue.slice(1);
        if (kind === "double") fleet.queue.push(...fleet.queue);
        if (kind === "swap") fleet.queue.reverse();
        if (kind === "die" && fleet.dead.size < count - 1) fleet.dead.add(id);
        if (kind === "return" && fleet.dead.delete(id)) {
          fleet.states.set(id, createDistributionState(id, 1));
          fleet.followers.delete(id);
        }
        const before = nextOf(fleet);
        tick(fleet, now, (pick % 97) / 97);
        assert.ok(
          nextOf(fleet).every((next, index) => next >= (before[index] ?? 0)),
        );
      }
      for (let extra = 0; extra < 3 * count; extra++) {
        now += 2_000;
        read(fleet, now, log);
        tick(fleet, now, (extra * 0.37) % 1);
      }
      const digest = digestOf("", log);
      for (const [id, state] of fleet.states) {
        if (fleet.dead.has(id)) continue;
        assert.equal(state.next, log.length + 1);
        assert.equal(state.digest, digest);
      }
    }),
    { runs: 60 },
  );
});

test("differing digest is reported and repaired", () => {
  const fleet = startFleet(10);
  tick(fleet, 0);
  read(fleet, 1, recordsOf(1, 3));
  deliver(fleet, 1);
  const ids = [...fleet.states.keys()];
  const { readers } = viewOf(fleet);
  const divergedId = ids.find((id) => !readers.includes(id)) ?? "";
  const expected = fleet.states.get(readers[0] ?? "")?.digest;
  const state = fleet.states.get(divergedId);
  assert.ok(state);
  state.digest = "f".repeat(64);
  for (let now = 1_000; now < 6_000; now += 1_000) tick(fleet, now, now / 6e3);
  assert.ok(fleet.diverged > 0);
  assert.equal(state.digest, expected);
});

test("a fetch is answered with one page", () => {
  const state = createDistributionState("n:1", 1);
  const records = recordsOf(1, 900);
  decideDistribution(state, {
    type: "folded",
    next: 901,
    digest: "a".repeat(64),
    records,
  });
  const [effect] = decideDistribution(state, {
    type: "received",
    now: 0,
    view: { ring: buildRing(["n:1", "n:2"]), readers: [], gateways: [] },
    from: "n:2",
    message: { type: "distribution/fetch", from: 1, digest: "" },
  });
  assert.ok(effect?.type === "send");
  assert.ok(effect.message.type === "distribution/page");
  assert.equal(effect.message.records.length, 200);
  assert.equal(effect.message.head, 901);
});

test("snapshots per tick are limited", () => {
  const state = createDistributionState("n:1", 50);
  const asked = idsOf(9).flatMap((from) =>
    decideDistribution(state, {
      type: "received",
      now: 0,
      view: { ring: buildRing(["n:1"]), readers: [], gateways: [] },
      from,
      message: { type: "distribution/fetch", from: 1, digest: "" },
    })
  );
  assert.equal(asked.length, 2);
});
