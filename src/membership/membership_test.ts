import { test } from "node:test";
import assert from "node:assert/strict";
import fc from "fast-check";
import { type Announcement, EndpointState } from "../core/types.ts";
import { checkProperty } from "../testing/check_property.ts";
import { createDirectory } from "./create_directory.ts";
import { decideMembership } from "./decide_membership.ts";
import type { MembershipMessage } from "./messages.ts";
import { overlayOf } from "./overlay_of.ts";
import {
  createMembershipState,
  type MembershipEffect,
  type MembershipEvent,
  type MembershipState,
} from "./state.ts";

interface Sent {
  readonly from: string;
  readonly to: string;
  readonly message: MembershipMessage;
}

interface Fleet {
  readonly states: Map<string, MembershipState>;
  /** Nodes on the other side of a network partition. */
  readonly partitioned: Set<string>;
  readonly effects: MembershipEffect[];
  queue: Sent[];
  now: number;
  starts: number;
}

const createFleet = (): Fleet => ({
  states: new Map(),
  partitioned: new Set(),
  effects: [],
  queue: [],
  now: 0,
  starts: 0,
});

function start(
  fleet: Fleet,
  id: string,
  domain = "zone-a",
  seeds = ["n:1", "n:2"],
) {
  const boot = `boot-${fleet.starts++}`;
  const self = { id, domain, region: "nl-west", boot };
  const startedAt = 1_000 + fleet.starts;
  const state = createMembershipState({ self, seeds, startedAt, now: 0 });
  fleet.states.set(id, state);
  return state;
}

function run(fleet: Fleet, id: string, event: MembershipEvent) {
  const state = fleet.states.get(id);
  if (state === undefined) return;
  for (const effect of decideMembership(state, event)) {
    if (effect.type !== "send") fleet.effects.push(effect);
    else fleet.queue.push({ from: id, to: effect.to, message: effect.message });
  }
}

function deliver(fleet: Fleet) {
  const { now } = fleet;
  for (let sent = fleet.queue.shift(); sent; sent = fleet.queue.shift()) {
    const { from, to, message } = sent;
    if (fleet.partitioned.has(from) !== fleet.partitioned.has(to)) continue;
    run(fleet, to, { type: "received", from, message, now });
  }
}

function tick(fleet: Fleet, times = 1) {
  for (let time = 0; time < times; time++) {
    fleet.now += 1_000;
    const { now } = fleet;
    for (const [index, id] of [...fleet.states.keys()].entries()) {
      const random = (index * 0.619 + now * 0.000_317) % 1;
      run(fleet, id, { type: "ticked", now, random, presence: [] });
    }
    deliver(fleet);
  }
}

function startDomain(count: number, domain = "zone-a", from = 1): Fleet {
  const fleet = createFleet();
  for (let index = from; index < from + count; index++) {
    start(fleet, `n:${index}`, domain);
  }
  tick(fleet, 10);
  return fleet;
}

function upstream(
  endpoint: string,
  version = "v1",
  state: Announcement["state"] = EndpointState.Ready,
): Announcement {
  return {
    endpoint,
    service: "portaal",
    version,
    slots: 20,
    connections: 130,
    state,
    load: 0,
    healthy: true,
  };
}

function announce(fleet: Fleet, id: string, announcement: Announcement) {
  run(fleet, id, { type: "announced", announcement, now: fleet.now });
  deliver(fleet);
}

const homesKnownTo = (fleet: Fleet, id: string, version = "v1") => {
  const state = fleet.states.get(id);
  assert.ok(state);
  return createDirectory(state).homes("portaal", version)
    .map((one) => one.home);
};

const memberCounts = (fleet: Fleet) =>
  [...fleet.states.values()].map((state) => state.members.size);

test("all nodes find each other through the seeds", () => {
  const fleet = startDomain(40);
  assert.ok(memberCounts(fleet).every((size) => size === 40));
});

test("all members drop a dead one", () => {
  const fleet = startDomain(30);
  fleet.states.delete("n:7");
  tick(fleet, 8);
  assert.ok(memberCounts(fleet).every((size) => size === 29));
});

test("members agree after half of the domain dies, twice", () => {
  const fleet = startDomain(40);
  for (let round = 0; round < 2; round++) {
    for (let index = 3; index <= 40; index += 2) {
      fleet.states.delete(`n:${index}`);
    }
    tick(fleet, 16);
    assert.ok(memberCounts(fleet).every((size) => size === 21));
    for (let index = 3; index <= 40; index += 2) start(fleet, `n:${index}`);
    tick(fleet, 12);
    assert.ok(memberCounts(fleet).every((size) => size === 40));
  }
});

test("a live suspect refutes and stays a member", () => {
  const fleet = startDomain(10);
  const state = fleet.states.get("n:5");
  assert.ok(state);
  const [before, ring] = [state.incarnation, overlayOf(state).ring.ids];
  const other = ring.find((id) => id !== "n:5") ?? "";
  const row = fleet.states.get(other)?.members.get("n:5")?.row;
  assert.ok(row);
  run(fleet, other, {
    type: "received",
    from: "n:1",
    now: fleet.now,
    message: {
      type: "membership/rows",
      rows: [{ ...row, status: "suspect" }],
      until: "n:5",
    },
  });
  tick(fleet, 8);
  assert.ok(state.incarnation > before);
  assert.ok(memberCounts(fleet).every((size) => size === 10));
});

test("a partitioned domain merges again", () => {
  const fleet = startDomain(16);
  for (let index = 9; index <= 16; index++) fleet.partitioned.add(`n:${index}`);
  tick(fleet, 12);
  assert.ok(memberCounts(fleet).every((size) => size === 8));
  fleet.partitioned.clear();
  tick(fleet, 30);
  assert.ok(memberCounts(fleet).every((size) => size === 16));
});

test("a leaving node immediately stops being a home node", () => {
  const fleet = startDomain(20);
  announce(fleet, "n:3", upstream("up:1"));
  assert.deepEqual(homesKnownTo(fleet, "n:9"), ["n:3"]);
  run(fleet, "n:3", { type: "leaving", now: fleet.now });
  deliver(fleet);
  assert.deepEqual(homesKnownTo(fleet, "n:9"), []);
});

test("all nodes immediately receive the state of a draining endpoint", () => {
  const fleet = startDomain(20);
  announce(fleet, "n:3", upstream("up:1"));
  announce(fleet, "n:3", upstream("up:1", "v1", EndpointState.Draining));
  const ids = [...fleet.states.keys()];
  assert.ok(ids.every((id) => homesKnownTo(fleet, id).length === 0));
});

test("an endpoint that stops announcing is dropped", () => {
  const fleet = startDomain(5);
  announce(fleet, "n:3", upstream("up:1"));
  tick(fleet, 4);
  assert.deepEqual(homesKnownTo(fleet, "n:1"), []);
});

test("the last node to announce an endpoint is its home", () => {
  const fleet = startDomain(8);
  announce(fleet, "n:3", upstream("up:1"));
  announce(fleet, "n:4", upstream("up:1"));
  const ids = [...fleet.states.keys()];
  assert.ok(ids.every((id) => homesKnownTo(fleet, id).join() === "n:4"));
  assert.equal(fleet.states.get("n:3")?.own.size, 0);
});

test("a home is ready since its first ready endpoint", () => {
  const fleet = startDomain(4);
  announce(fleet, "n:3", upstream("up:1"));
  const seen = fleet.now;
  tick(fleet, 2);
  announce(fleet, "n:3", upstream("up:2"));
  const state = fleet.states.get("n:1");
  assert.ok(state);
  const [home] = createDirectory(state).homes("portaal", "v1");
  assert.equal(home?.readySince, seen);
  assert.equal(home?.slots, 40);
});

test("every node receives the versions of all members", () => {
  const fleet = startDomain(40);
  for (const id of fleet.states.keys()) {
    if (id === "n:9") continue;
    run(fleet, id, { type: "applied", version: 7, now: fleet.now });
  }
  deliver(fleet);
  tick(fleet, 3);
  for (const [id, state] of fleet.states) {
    const behind = [...state.members.values()].map((known) => known.row)
      .filter((row) => row.applied !== 7).map((row) => row.info.id);
    assert.deepEqual(behind, ["n:9"], id);
  }
});

test("a summary of another domain expires and returns", () => {
  const fleet = startDomain(12);
  for (let index = 20; index < 26; index++) {
    start(fleet, `n:${index}`, "zone-b");
  }
  announce(fleet, "n:22", upstream("up:9"));
  for (let time = 0; time < 12; time++) {
    announce(fleet, "n:22", upstream("up:9"));
    tick(fleet);
  }
  const remotes = (id: string) => {
    const state = fleet.states.get(id);
    assert.ok(state);
    return createDirectory(state).remotes("portaal", "v1");
  };
  for (let index = 1; index <= 12; index++) {
    assert.equal(remotes(`n:${index}`)[0]?.domain, "zone-b");
  }
  for (let index = 20; index < 26; index++) fleet.partitioned.add(`n:${index}`);
  tick(fleet, 40);
  assert.equal(remotes("n:1").length, 0);
  fleet.partitioned.clear();
  for (let time = 0; time < 40; time++) {
    announce(fleet, "n:22", upstream("up:9"));
    tick(fleet);
  }
  for (let index = 1; index <= 12; index++) {
    assert.equal(remotes(`n:${index}`)[0]?.domain, "zone-b");
  }
});

test("a new gateway receives other domains' summaries within two ticks", () => {
  const fleet = startDomain(6);
  start(fleet, "n:20", "zone-b");
  tick(fleet, 2);
  announce(fleet, "n:4", upstream("up:1"));
  tick(fleet, 2);
  const summary = fleet.states.get("n:20")?.summaries.get("zone-a")?.summary;
  assert.equal(summary?.nodes, 6);
  assert.equal(summary?.gateways.length, 2);
  assert.equal(summary?.services.length, 1);
});

test("the publisher sends its summary to a new gateway", () => {
  const fleet = startDomain(6);
  start(fleet, "n:20", "zone-b");
  tick(fleet, 10);
  const state = fleet.states.get("n:1");
  const known = state?.summaries.get("zone-b")?.summary;
  assert.ok(state && known);
  const [publisher = ""] = overlayOf(state).readers;
  const gateways = [...known.gateways, "n:99"];
  const summary = { ...known, revision: known.revision + 1, gateways };
  const message = { type: "membership/summary", summary, until: null } as const;
  const { now } = fleet;
  run(fleet, publisher, { type: "received", from: "n:20", message, now });
  const sent = fleet.queue.filter(({ to }) => to === "n:99");
  assert.ok(sent.some((one) =>
    one.message.type === "membership/summary" &&
    one.message.summary.domain === "zone-a"
  ));
  assert.ok(!fleet.queue.some(({ to }) => to === "n:20"));
});

test("a restarted domain exceeds its old revision", () => {
  const fleet = startDomain(6);
  for (let index = 20; index < 23; index++) {
    start(fleet, `n:${index}`, "zone-b");
  }
  tick(fleet, 20);
  const known = fleet.states.get("n:1")?.summaries.get("zone-b")?.summary;
  assert.ok(known);
  for (let index = 20; index < 23; index++) {
    const restarted = start(fleet, `n:${index}`, "zone-b");
    assert.equal(restarted.summaryRevision, 0);
  }
  tick(fleet, 20);
  const again = fleet.states.get("n:1")?.summaries.get("zone-b")?.summary;
  assert.ok(again && again.revision > known.revision);
});

test("the floor is the version last applied at the address", () => {
  const fleet = startDomain(12);
  for (const id of fleet.states.keys()) {
    run(fleet, id, { type: "caught-up", now: fleet.now });
  }
  run(fleet, "n:9", { type: "applied", version: 41, now: fleet.now });
  deliver(fleet);
  tick(fleet, 3);
  fleet.states.delete("n:9");
  tick(fleet, 12);
  const returned = start(fleet, "n:9");
  assert.equal(returned.floor, undefined);
  tick(fleet, 4);
  assert.equal(returned.floor, 41);
});

test("new nodes get no floor from each other", () => {
  const fleet = startDomain(3);
  assert.ok(
    [...fleet.states.values()].every((one) => one.floor === undefined),
  );
});

test("a fresh floor is from a head read after the request", () => {
  const fleet = startDomain(4);
  const state = fleet.states.get("n:1");
  assert.ok(state);
  const [reader = ""] = overlayOf(state).readers;
  const { now } = fleet;
  const message = { type: "membership/want-floor", domain: "zone-a" } as const;
  const ask = (from: string) =>
    run(fleet, reader, { type: "received", from, message, now });
  const reads = () =>
    fleet.effects.filter((one) => one.type === "read-head").length;
  const recipients = () => fleet.queue.splice(0).map(({ to }) => to);
  // Answers the floor requests that the members sent when they started.
  run(fleet, reader, { type: "head-reached", version: 1 });
  run(fleet, reader, { type: "head-reached", version: 1 });
  recipients();
  const before = reads();
  ask("n:70");
  ask("n:71");
  assert.equal(reads(), before + 1);
  run(fleet, reader, { type: "head-reached", version: 9 });
  assert.deepEqual(recipients(), ["n:70"]);
  assert.equal(reads(), before + 2);
  run(fleet, reader, { type: "head-unknown" });
  ask("n:72");
  run(fleet, reader, { type: "head-reached", version: 9 });
  assert.deepEqual(recipients(), ["n:72"]);
});

test("a join with a contradicting domain is refused", () => {
  const fleet = startDomain(4);
  const message: MembershipMessage = {
    type: "membership/join",
    row: {
      info: { id: "n:3", domain: "zone-z", region: "r", boot: "b" },
      incarnation: 9_999,
      revision: 1,
      status: "alive",
      endpoints: [],
      applied: 0,
    },
  };
  const from = "n:3";
  run(fleet, "n:1", { type: "received", from, message, now: fleet.now });
  const refusal = fleet.effects.find((one) => one.type === "refuse-peer");
  assert.ok(refusal?.type === "refuse-peer");
  assert.match(refusal.reason, /zone-z.*zone-a/);
  assert.equal(fleet.states.get("n:1")?.members.size, 4);
  assert.deepEqual(fleet.queue, []);
});

test("a row of this address in another domain is refused", () => {
  const fleet = startDomain(4);
  const state = fleet.states.get("n:1");
  const row = state?.members.get("n:1")?.row;
  assert.ok(state && row);
  const { incarnation } = state;
  const info = { ...row.info, domain: "zone-z", boot: "other" };
  const rows = [{ ...row, info, incarnation: 9_999, applied: 70 }];
  const message = { type: "membership/rows", rows, until: "n:1" } as const;
  run(fleet, "n:1", {
    type: "received",
    from: "n:2",
    message,
    now: fleet.now,
  });
  assert.ok(fleet.effects.some((one) => one.type === "refuse-peer"));
  assert.equal(state.incarnation, incarnation);
  assert.equal(state.receivedFloor, 0);
});

test("a node whose seeds are gone joins by presence records", () => {
  const fleet = startDomain(6);
  const newcomer = start(fleet, "n:50", "zone-a", ["gone:1"]);
  run(fleet, "n:50", { type: "seeded", seeds: ["n:4", "gone:2"] });
  tick(fleet, 6);
  assert.equal(newcomer.members.size, 7);
});

test("presence is recorded once", () => {
  const fleet = startDomain(6);
  const ids = [...fleet.states.keys()];
  tick(fleet, 20);
  const records = fleet.effects.filter((one) => one.type === "record-presence");
  assert.equal(records.length, 1);
  const [record] = records;
  assert.ok(record?.type === "record-presence");
  assert.ok(record.nodes.every((id) => ids.includes(id)));
});

test("presence is recorded again when half of the nodes are gone", () => {
  const fleet = startDomain(12);
  tick(fleet, 10);
  const isRecord = (one: MembershipEffect) => one.type === "record-presence";
  const first = fleet.effects.find(isRecord);
  assert.ok(first?.type === "record-presence");
  const [reader = ""] = first.nodes;
  const tickLater = (presence: readonly string[]) => {
    fleet.now += 200_000;
    const { now } = fleet;
    run(fleet, reader, { type: "ticked", now, random: 0, presence });
    return fleet.effects.filter(isRecord).length;
  };
  assert.equal(tickLater(first.nodes), 1);
  const half = Math.floor(first.nodes.length / 2);
  const gone = first.nodes.map((id, index) => index < half ? id : "gone:1");
  assert.equal(tickLater(gone), 2);
});

test("views of all nodes converge after any faults", () => {
  const faults = fc.array(
    fc.record({
      kind: fc.constantFrom("lose", "double", "swap", "die", "return", "cut"),
      pick: fc.nat(1_000),
    }),
    { maxLength: 25 },
  );
  checkProperty(
    fc.property(faults, (all) => {
      const fleet = startDomain(12);
      for (const { kind, pick } of all) {
        const id = `n:${3 + pick % 10}`;
        if (kind === "die") fleet.states.delete(id);
        if (kind === "return" && !fleet.states.has(id)) start(fleet, id);
        if (kind === "cut") fleet.partitioned.add(id);
        run(fleet, id, {
          type: "announced",
          announcement: upstream(`up:${pick % 5}`),
          now: fleet.now,
        });
        if (kind === "lose") fleet.queue = fleet.queue.slice(2);
        if (kind === "double") fleet.queue.push(...fleet.queue);
        if (kind === "swap") fleet.queue.reverse();
        tick(fleet);
      }
      fleet.partitioned.clear();
      tick(fleet, 60);
      assert.ok(
        memberCounts(fleet).every((size) => size === fleet.states.size),
      );
      const sums = [...fleet.states.values()].map((one) => one.sums.join());
      assert.equal(new Set(sums).size, 1);
    }),
    { runs: 40 },
  );
});

test("only readers send joins in a settled domain", () => {
  const fleet = createFleet();
  // No member answers the first node's join, and one seed never answers.
  for (const id of ["n:1", "n:2", "n:3", "n:4"]) {
    start(fleet, id, "zone-a", ["n:1", "gone:1"]);
    tick(fleet, 4);
  }
  tick(fleet, 10);
  const joins = new Set<string>();
  let count = 0;
  for (let time = 0; time < 20; time++) {
    fleet.now += 1_000;
    for (const id of fleet.states.keys()) {
      const { now } = fleet;
      run(fleet, id, { type: "ticked", now, random: 0, presence: [] });
    }
    for (const { from, message } of fleet.queue) {
      if (message.type !== "membership/join") continue;
      joins.add(from);
      count++;
    }
    deliver(fleet);
  }
  assert.equal(joins.size, 2);
  assert.equal(count, 8);
});
