import { test } from "node:test";
import assert from "node:assert/strict";
import fc from "fast-check";
import { checkProperty } from "../testing/check_property.ts";
import {
  createReaderElectionSimulation,
  type ReaderElectionSimulation,
  StoreMode,
} from "../testing/create_reader_election_simulation.ts";
import { decideReaderElection } from "./decide_reader_election.ts";
import {
  createReaderElectionState,
  type ReaderElectionEvent,
  ReaderStatus,
  RecordSource,
} from "./state.ts";

/** Time in which a change has to be in force on the smaller sites. */
const applyMs = 2_000;

/** Time after which views agree: the longest rest, and pings after it. */
const calmMs = 8_000;

/** Two domains have two readers each, four have one. */
const pair = { domains: 2, nodesOfDomain: 4 };
const four = { domains: 4, nodesOfDomain: 3 };

/** A fleet of so many links that its nodes ping as seldom as they ever do. */
const seldom = { ...four, idlePings: { nearMs: 3_000, farMs: 10_000 } };

/** Domains larger than the number of nodes that look for a way at once. */
const crowd = { domains: 3, nodesOfDomain: 9 };

const nodes = pair.domains * pair.nodesOfDomain;

function calmWorld(): ReaderElectionSimulation {
  const world = createReaderElectionSimulation(pair);
  world.run(calmMs);
  return world;
}

/** Nodes that should know the newest record and don't. */
function behind(world: ReaderElectionSimulation): number[] {
  return [...world.reachable()].filter((node) =>
    world.end(node) !== world.storeEnd()
  );
}

function writeAndCheck(world: ReaderElectionSimulation) {
  world.write();
  world.run(applyMs);
  assert.deepEqual(behind(world), []);
}

/** Nodes that the store serves and that don't know the newest record. */
function behindOfServed(
  world: ReaderElectionSimulation,
  count: number,
): number[] {
  return Array.from({ length: count }, (_, node) => node).filter((node) =>
    world.isServed(node) && world.end(node) !== world.storeEnd()
  );
}

test("two nodes of each domain read in calm", () => {
  const world = calmWorld();
  assert.deepEqual([world.readers(0), world.readers(1)], [2, 2]);
  writeAndCheck(world);
});

test("nodes that start together read once, and the first ones go on", () => {
  const world = createReaderElectionSimulation(four);
  world.run(calmMs);
  // Each once, and two of each domain until they know of the others' readers.
  assert.equal(world.reads(), 12 + 8);
});

test("one node of each domain reads where many domains do", () => {
  const world = createReaderElectionSimulation(four);
  world.run(calmMs);
  const readers = [0, 1, 2, 3].map((domain) => world.readers(domain));
  assert.deepEqual(readers, [1, 1, 1, 1]);
  writeAndCheck(world);
});

test("a domain's only reader that hangs is found by what others have", () => {
  const world = createReaderElectionSimulation(four);
  world.run(calmMs);
  world.setMode(0, StoreMode.Hangs);
  writeAndCheck(world);
});

test("a domain's only reader that freezes is found by what others have", () => {
  const world = createReaderElectionSimulation(four);
  world.run(calmMs);
  for (let node = 0; node < 12; node++) world.cut(0, node);
  writeAndCheck(world);
});

test("a change is passed on while readers are killed", () => {
  const world = calmWorld();
  world.write();
  world.kill(0);
  world.kill(2);
  world.run(applyMs);
  assert.deepEqual(behind(world), []);
  assert.equal(world.readers(0), 2);
});

test("a change is in force while the store turns the first nodes away", () => {
  const world = calmWorld();
  for (const node of [0, 2, 4]) world.setMode(node, StoreMode.Refuses);
  writeAndCheck(world);
  assert.equal(world.readers(0), 1);
});

test("a change is in force while all reads of a domain hang", () => {
  const world = calmWorld();
  for (const node of [0, 2, 4, 6]) world.setMode(node, StoreMode.Hangs);
  writeAndCheck(world);
});

test("a change is in force while the store is silent to all readers", () => {
  const world = createReaderElectionSimulation(four);
  world.run(calmMs);
  for (const reader of [0, 1, 2, 3]) world.setMode(reader, StoreMode.Hangs);
  writeAndCheck(world);
});

test("a change is in force while all readers freeze", () => {
  const world = createReaderElectionSimulation(four);
  world.run(calmMs);
  for (const reader of [0, 1, 2, 3]) {
    world.setMode(reader, StoreMode.Hangs);
    for (let node = 0; node < 12; node++) world.cut(reader, node);
  }
  world.write();
  world.run(applyMs);
  assert.deepEqual(behindOfServed(world, 12), []);
});

test("a change is in force while the readers' links are silent", () => {
  const world = calmWorld();
  for (const reader of [0, 2]) {
    for (let node = 0; node < nodes; node++) world.cut(reader, node);
  }
  writeAndCheck(world);
});

test("a domain that is cut off from the others reads for itself", () => {
  const world = calmWorld();
  for (const a of [0, 2, 4, 6]) {
    for (const b of [1, 3, 5, 7]) world.cut(a, b);
  }
  writeAndCheck(world);
});

test("a store that is out is not asked by every node all the time", () => {
  const world = calmWorld();
  for (let node = 0; node < nodes; node++) {
    world.setMode(node, StoreMode.Refuses);
  }
  world.run(1_000);
  const before = world.reads();
  world.run(3_000);
  // Two nodes of each domain go on asking, the others once in a while.
  const perNode = (world.reads() - before) / nodes;
  assert.ok(perNode < 15, `${perNode} reads a node`);
});

test("a node that has started and is not linked yet goes on reading", () => {
  const state = createReaderElectionState({ self: "b", domain: "d0" });
  decideReaderElection(state, { type: "started", now: 0 });
  decideReaderElection(state, {
    type: "records-taken",
    source: RecordSource.Store,
    from: -1,
    end: 2,
    now: 100,
  });
  decideReaderElection(state, { type: "ticked", now: 200 });
  assert.equal(state.isOn, false);
  decideReaderElection(state, { type: "ticked", now: 1_200 });
  assert.equal(state.isOn, true);
});

test("a node that joins asks for what was passed on before it was linked", () => {
  const state = createReaderElectionState({ self: "b", domain: "d0" });
  const events: ReaderElectionEvent[] = [
    { type: "started", now: 0 },
    {
      type: "records-taken",
      source: RecordSource.Store,
      from: -1,
      end: 2,
      now: 100,
    },
    {
      type: "peer-heard",
      node: "a",
      domain: "d0",
      readerStatus: ReaderStatus.Healthy,
      end: 3,
      now: 1_000,
    },
  ];
  for (const event of events) decideReaderElection(state, event);
  const effects = decideReaderElection(state, { type: "ticked", now: 1_200 });
  assert.ok(effects.some(({ type }) => type === "ask"));
});

test("a peer that does not answer is followed by another one", () => {
  const state = createReaderElectionState({ self: "b", domain: "d0" });
  const hear = (node: string, now: number) =>
    decideReaderElection(state, {
      type: "peer-heard",
      node,
      domain: "d0",
      readerStatus: ReaderStatus.Idle,
      end: 5,
      now,
    });
  const asked = (now: number) =>
    decideReaderElection(state, { type: "ticked", now }).flatMap((effect) =>
      effect.type === "ask" ? [effect.node] : []
    );
  hear("a", 0);
  assert.deepEqual(asked(700), ["a"]);
  hear("c", 800);
  assert.deepEqual(asked(1_400), ["c"]);
});

const index = fc.integer({ min: 0, max: nodes - 1 });
const action = fc.oneof(
  fc.record({ type: fc.constant("write" as const) }),
  fc.record({ type: fc.constant("kill" as const), node: index }),
  fc.record({ type: fc.constant("start" as const), node: index }),
  fc.record({
    type: fc.constant("mode" as const),
    node: index,
    mode: fc.constantFrom(...Object.values(StoreMode)),
  }),
  fc.record({ type: fc.constant("cut" as const), a: index, b: index }),
  fc.record({ type: fc.constant("heal" as const) }),
  fc.record({
    type: fc.constant("run" as const),
    ms: fc.integer({ min: 1, max: 60 }).map((steps) => steps * 50),
  }),
);

type Action = typeof action extends fc.Arbitrary<infer T> ? T : never;

function play(world: ReaderElectionSimulation, one: Action) {
  switch (one.type) {
    case "write":
      return world.write();
    case "kill":
      return world.kill(one.node);
    case "start":
      return world.start(one.node);
    case "mode":
      return world.setMode(one.node, one.mode);
    case "cut":
      return world.cut(one.a, one.b);
    case "heal":
      return world.heal();
    case "run":
      return world.run(one.ms);
  }
}

const story = fc.record({
  size: fc.constantFrom(pair, four, seldom),
  actions: fc.array(action, { maxLength: 40 }),
});

test("in any story each node with a path ends at the newest record", () => {
  checkProperty(
    fc.property(story, ({ size, actions }) => {
      const world = createReaderElectionSimulation(size);
      for (const one of actions) play(world, one);
      world.run(calmMs);
      assert.deepEqual(behind(world), []);
      world.write();
      world.run(calmMs);
      assert.deepEqual(behind(world), []);
    }),
    { runs: 300 },
  );
});

test("in any outage of some nodes a change is in force where the store serves", () => {
  const outage = fc.record({
    size: fc.constantFrom(pair, four, seldom, crowd),
    silent: fc.array(fc.nat(), { maxLength: 24 }),
    mode: fc.constantFrom(StoreMode.Hangs, StoreMode.Refuses),
    leadMs: fc.integer({ min: 0, max: 60 }).map((steps) => steps * 50),
  });
  checkProperty(
    fc.property(outage, ({ size, silent, mode, leadMs }) => {
      const world = createReaderElectionSimulation(size);
      world.run(calmMs);
      const count = size.domains * size.nodesOfDomain;
      for (const node of silent) world.setMode(node % count, mode);
      world.run(leadMs);
      world.write();
      world.run(applyMs);
      assert.deepEqual(behindOfServed(world, count), []);
    }),
    { runs: 300 },
  );
});

test("in any story at most two nodes of a domain read once views agree", () => {
  checkProperty(
    fc.property(story, ({ size, actions }) => {
      const world = createReaderElectionSimulation(size);
      for (const one of actions) play(world, one);
      world.heal();
      world.run(calmMs);
      for (let domain = 0; domain < size.domains; domain++) {
        assert.ok(world.readers(domain) <= 2);
      }
    }),
    { runs: 300 },
  );
});

test("in any story a change is in force in time once troubles are old", () => {
  checkProperty(
    fc.property(story, ({ size, actions }) => {
      const world = createReaderElectionSimulation(size);
      for (const one of actions) play(world, one);
      world.heal();
      world.run(calmMs);
      world.write();
      world.run(applyMs);
      assert.deepEqual(behind(world), []);
    }),
    { runs: 300 },
  );
});
