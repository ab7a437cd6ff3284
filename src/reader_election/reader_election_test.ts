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

/** Time in which a change must be applied at deployments of these sizes. */
const APPLY_LIMIT_MS = 2_000;

/**
 * Time after which the nodes' views agree: the longest wait and the next pings.
 */
const SETTLE_MS = 8_000;

/** Two failure domains have two readers each, four domains have one each. */
const TWO_DOMAINS = { domains: 2, nodesOfDomain: 4 };
const FOUR_DOMAINS = { domains: 4, nodesOfDomain: 3 };

/** Ping intervals of the largest fleets, where nodes ping least often. */
const SLOW_PINGS = {
  ...FOUR_DOMAINS,
  idlePings: { localMs: 3_000, remoteMs: 10_000 },
};

/** Domains with more nodes than `MAX_SEARCHING_NODES`. */
const LARGE_DOMAINS = { domains: 3, nodesOfDomain: 9 };

const NODE_COUNT = TWO_DOMAINS.domains * TWO_DOMAINS.nodesOfDomain;

function createSettledSimulation(): ReaderElectionSimulation {
  const sim = createReaderElectionSimulation(TWO_DOMAINS);
  sim.run(SETTLE_MS);
  return sim;
}

/**
 * Nodes served by the store, or linked to such a node, that lack the newest
 * record.
 */
function findOutdatedNodes(sim: ReaderElectionSimulation): number[] {
  return [...sim.reachable()].filter((node) =>
    sim.end(node) !== sim.storeEnd()
  );
}

function writeAndCheck(sim: ReaderElectionSimulation) {
  sim.write();
  sim.run(APPLY_LIMIT_MS);
  assert.deepEqual(findOutdatedNodes(sim), []);
}

/** Nodes that the store serves and that lack the newest record. */
function findOutdatedServedNodes(
  sim: ReaderElectionSimulation,
  count: number,
): number[] {
  return Array.from({ length: count }, (_, node) => node).filter((node) =>
    sim.isServed(node) && sim.end(node) !== sim.storeEnd()
  );
}

test("two nodes of each domain read without failures", () => {
  const sim = createSettledSimulation();
  assert.deepEqual([sim.readers(0), sim.readers(1)], [2, 2]);
  writeAndCheck(sim);
});

test("nodes that start together read once, and the first ones continue", () => {
  const sim = createReaderElectionSimulation(FOUR_DOMAINS);
  sim.run(SETTLE_MS);
  // Each node reads once. Two nodes of each domain read again, until they know
  // the readers of the other domains.
  assert.equal(sim.reads(), 12 + 8);
});

test("one node of each domain reads if several domains have readers", () => {
  const sim = createReaderElectionSimulation(FOUR_DOMAINS);
  sim.run(SETTLE_MS);
  const readers = [0, 1, 2, 3].map((domain) => sim.readers(domain));
  assert.deepEqual(readers, [1, 1, 1, 1]);
  writeAndCheck(sim);
});

test("hanging sole reader of a domain is detected by newer records in other domains", () => {
  const sim = createReaderElectionSimulation(FOUR_DOMAINS);
  sim.run(SETTLE_MS);
  sim.setMode(0, StoreMode.Hangs);
  writeAndCheck(sim);
});

test("cut-off sole reader of a domain is detected by newer records in other domains", () => {
  const sim = createReaderElectionSimulation(FOUR_DOMAINS);
  sim.run(SETTLE_MS);
  for (let node = 0; node < 12; node++) sim.cut(0, node);
  writeAndCheck(sim);
});

test("change is forwarded while readers are killed", () => {
  const sim = createSettledSimulation();
  sim.write();
  sim.kill(0);
  sim.kill(2);
  sim.run(APPLY_LIMIT_MS);
  assert.deepEqual(findOutdatedNodes(sim), []);
  assert.equal(sim.readers(0), 2);
});

test("change is applied while the store rejects the first nodes", () => {
  const sim = createSettledSimulation();
  for (const node of [0, 2, 4]) sim.setMode(node, StoreMode.Refuses);
  writeAndCheck(sim);
  assert.equal(sim.readers(0), 1);
});

test("change is applied while all reads of a domain hang", () => {
  const sim = createSettledSimulation();
  for (const node of [0, 2, 4, 6]) sim.setMode(node, StoreMode.Hangs);
  writeAndCheck(sim);
});

test("change is applied while the store does not answer any reader", () => {
  const sim = createReaderElectionSimulation(FOUR_DOMAINS);
  sim.run(SETTLE_MS);
  for (const reader of [0, 1, 2, 3]) sim.setMode(reader, StoreMode.Hangs);
  writeAndCheck(sim);
});

test("change is applied while all readers freeze", () => {
  const sim = createReaderElectionSimulation(FOUR_DOMAINS);
  sim.run(SETTLE_MS);
  for (const reader of [0, 1, 2, 3]) {
    sim.setMode(reader, StoreMode.Hangs);
    for (let node = 0; node < 12; node++) sim.cut(reader, node);
  }
  sim.write();
  sim.run(APPLY_LIMIT_MS);
  assert.deepEqual(findOutdatedServedNodes(sim, 12), []);
});

test("change is applied while the readers' links deliver nothing", () => {
  const sim = createSettledSimulation();
  for (const reader of [0, 2]) {
    for (let node = 0; node < NODE_COUNT; node++) sim.cut(reader, node);
  }
  writeAndCheck(sim);
});

test("domain that is partitioned from the others applies a change", () => {
  const sim = createSettledSimulation();
  for (const a of [0, 2, 4, 6]) {
    for (const b of [1, 3, 5, 7]) sim.cut(a, b);
  }
  writeAndCheck(sim);
});

test("most nodes back off while the store fails", () => {
  const sim = createSettledSimulation();
  for (let node = 0; node < NODE_COUNT; node++) {
    sim.setMode(node, StoreMode.Refuses);
  }
  sim.run(1_000);
  const before = sim.reads();
  sim.run(3_000);
  // Two nodes of each domain continue to read, the others only now and then.
  const perNode = (sim.reads() - before) / NODE_COUNT;
  assert.ok(perNode < 15, `${perNode} reads a node`);
});

test("started node without links continues to read", () => {
  const state = createReaderElectionState({ self: "b", domain: "d0" });
  decideReaderElection(state, { type: "started", now: 0 });
  decideReaderElection(state, {
    type: "records-applied",
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

test("joining node requests records that were forwarded before it was linked", () => {
  const state = createReaderElectionState({ self: "b", domain: "d0" });
  const events: ReaderElectionEvent[] = [
    { type: "started", now: 0 },
    {
      type: "records-applied",
      source: RecordSource.Store,
      from: -1,
      end: 2,
      now: 100,
    },
    {
      type: "peer-status-received",
      node: "a",
      domain: "d0",
      readerStatus: ReaderStatus.Healthy,
      end: 3,
      now: 1_000,
    },
  ];
  for (const event of events) decideReaderElection(state, event);
  const effects = decideReaderElection(state, { type: "ticked", now: 1_200 });
  assert.ok(effects.some(({ type }) => type === "request"));
});

test("request is sent to another peer if the first does not answer", () => {
  const state = createReaderElectionState({ self: "b", domain: "d0" });
  const receiveStatus = (node: string, now: number) =>
    decideReaderElection(state, {
      type: "peer-status-received",
      node,
      domain: "d0",
      readerStatus: ReaderStatus.Idle,
      end: 5,
      now,
    });
  const requestedNodes = (now: number) =>
    decideReaderElection(state, { type: "ticked", now }).flatMap((effect) =>
      effect.type === "request" ? [effect.node] : []
    );
  receiveStatus("a", 0);
  assert.deepEqual(requestedNodes(700), ["a"]);
  receiveStatus("c", 800);
  assert.deepEqual(requestedNodes(1_400), ["c"]);
});

const index = fc.integer({ min: 0, max: NODE_COUNT - 1 });
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

function applyAction(sim: ReaderElectionSimulation, one: Action) {
  switch (one.type) {
    case "write":
      return sim.write();
    case "kill":
      return sim.kill(one.node);
    case "start":
      return sim.start(one.node);
    case "mode":
      return sim.setMode(one.node, one.mode);
    case "cut":
      return sim.cut(one.a, one.b);
    case "heal":
      return sim.heal();
    case "run":
      return sim.run(one.ms);
  }
}

const scenario = fc.record({
  size: fc.constantFrom(TWO_DOMAINS, FOUR_DOMAINS, SLOW_PINGS),
  actions: fc.array(action, { maxLength: 40 }),
});

test("each node with a path to the store gets the newest record in any scenario", () => {
  checkProperty(
    fc.property(scenario, ({ size, actions }) => {
      const sim = createReaderElectionSimulation(size);
      for (const one of actions) applyAction(sim, one);
      sim.run(SETTLE_MS);
      assert.deepEqual(findOutdatedNodes(sim), []);
      sim.write();
      sim.run(SETTLE_MS);
      assert.deepEqual(findOutdatedNodes(sim), []);
    }),
    { runs: 300 },
  );
});

test("change is applied at nodes that the store serves in any partial outage", () => {
  const outage = fc.record({
    size: fc.constantFrom(TWO_DOMAINS, FOUR_DOMAINS, SLOW_PINGS, LARGE_DOMAINS),
    silent: fc.array(fc.nat(), { maxLength: 24 }),
    mode: fc.constantFrom(StoreMode.Hangs, StoreMode.Refuses),
    leadMs: fc.integer({ min: 0, max: 60 }).map((steps) => steps * 50),
  });
  checkProperty(
    fc.property(outage, ({ size, silent, mode, leadMs }) => {
      const sim = createReaderElectionSimulation(size);
      sim.run(SETTLE_MS);
      const count = size.domains * size.nodesOfDomain;
      for (const node of silent) sim.setMode(node % count, mode);
      sim.run(leadMs);
      sim.write();
      sim.run(APPLY_LIMIT_MS);
      assert.deepEqual(findOutdatedServedNodes(sim, count), []);
    }),
    { runs: 300 },
  );
});

test("at most two nodes of a domain read once views agree, in any scenario", () => {
  checkProperty(
    fc.property(scenario, ({ size, actions }) => {
      const sim = createReaderElectionSimulation(size);
      for (const one of actions) applyAction(sim, one);
      sim.heal();
      sim.run(SETTLE_MS);
      for (let domain = 0; domain < size.domains; domain++) {
        assert.ok(sim.readers(domain) <= 2);
      }
    }),
    { runs: 300 },
  );
});

test("change is applied in time after failures have ended, in any scenario", () => {
  checkProperty(
    fc.property(scenario, ({ size, actions }) => {
      const sim = createReaderElectionSimulation(size);
      for (const one of actions) applyAction(sim, one);
      sim.heal();
      sim.run(SETTLE_MS);
      sim.write();
      sim.run(APPLY_LIMIT_MS);
      assert.deepEqual(findOutdatedNodes(sim), []);
    }),
    { runs: 300 },
  );
});
