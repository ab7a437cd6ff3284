import { test } from "node:test";
import assert from "node:assert/strict";
import fc from "fast-check";
import { checkProperty } from "../testing/check_property.ts";
import {
  createFleetSimulation,
  type FleetSimulation,
  STEP_MS,
} from "../testing/create_fleet_simulation.ts";
import { chooseNeighbors } from "./choose_neighbors.ts";

const SERVICES = ["one", "two", "three"];

/** Time in which a fleet that starts at once knows all rows. */
const START_MS = 5_000;

/** Time in which a fleet agrees again after failures. */
const SETTLE_MS = 45_000;

const MAX_CONTROL_LINKS = 24;

/** Twice the links that a node opens to homes, and those for control. */
const MAX_LINKS = 2 * SERVICES.length * 10 + MAX_CONTROL_LINKS;

function startFleet(domains: number, nodesOfDomain: number): FleetSimulation {
  const sim = createFleetSimulation({
    domains,
    nodesOfDomain,
    services: SERVICES,
  });
  sim.nodes.forEach((_, index) => sim.start(index));
  sim.run(START_MS);
  return sim;
}

/** Steps until all running nodes know a changed row. */
function spread(sim: FleetSimulation, index: number): number {
  const running = sim.nodes.filter((node) => node.isRunning).length;
  sim.changeRow(index);
  for (let hops = 0; hops < 100; hops++) {
    if (sim.knowing(index) === running) return hops;
    sim.run(STEP_MS);
  }
  return Infinity;
}

test("nodes that start together know all rows", () => {
  for (const [domains, nodes] of [[1, 2], [3, 4], [6, 10]] as const) {
    assert.deepEqual(startFleet(domains, nodes).disagreements(), []);
  }
});

test("change reaches 300 nodes in seven hops over few links", () => {
  const sim = startFleet(6, 50);
  assert.ok(spread(sim, 17) <= 7);
  sim.nodes.forEach((_, index) => {
    const { neighbors, all } = sim.degree(index);
    assert.ok(neighbors <= MAX_CONTROL_LINKS, `${neighbors} neighbors`);
    assert.ok(all <= MAX_LINKS, `${all} links`);
  });
});

// The target is that of a node's connections from 30 to 300 machines.
test("number of links does not grow with the fleet", () => {
  const mean = (sim: FleetSimulation) =>
    sim.nodes.reduce((sum, _, index) => sum + sim.degree(index).all, 0) /
    sim.nodes.length;
  const [small, large] = [startFleet(6, 17), startFleet(6, 50)];
  assert.ok(mean(large) <= 1.3 * mean(small), `${mean(small)} ${mean(large)}`);
});

test("change reaches all others after a third of the nodes died", () => {
  const sim = startFleet(6, 20);
  sim.nodes.forEach((_, index) => {
    if (index % 3 === 0) sim.kill(index);
  });
  sim.run(SETTLE_MS);
  assert.deepEqual(sim.disagreements(), []);
  assert.ok(spread(sim, 1) <= 7);
});

test("change is not delayed by a node that is cut off", () => {
  const sim = startFleet(4, 8);
  sim.cut((index) => index === 5);
  sim.run(2_000);
  sim.changeRow(1);
  sim.run(1_000);
  assert.equal(sim.knowing(1), sim.nodes.length - 1);
});

test("node that was cut off for a while is used again", () => {
  const sim = startFleet(4, 8);
  sim.cut((index) => index === 5);
  sim.run(20_000);
  assert.equal(sim.knowing(5), 1);
  sim.heal();
  sim.run(SETTLE_MS);
  assert.deepEqual(sim.disagreements(), []);
});

test("domain that was cut off for an hour is found again", () => {
  const sim = startFleet(3, 5);
  sim.cut((index) => index % 3 === 0);
  sim.run(3_600_000);
  sim.heal();
  sim.run(SETTLE_MS);
  assert.deepEqual(sim.disagreements(), []);
});

test("halves of all domains that were cut off find each other again", () => {
  const sim = startFleet(3, 6);
  sim.cut((index) => index < 9);
  sim.run(300_000);
  sim.heal();
  sim.run(SETTLE_MS);
  assert.deepEqual(sim.disagreements(), []);
});

test("restarted process with a clock behind replaces the earlier one", () => {
  const sim = startFleet(3, 4);
  sim.kill(4);
  sim.run(5_000);
  sim.start(4, -60_000);
  sim.run(SETTLE_MS);
  assert.deepEqual(sim.disagreements(), []);
});

test("nodes agree after any failures", () => {
  const index = fc.integer({ min: 0, max: 17 });
  const action = fc.oneof(
    fc.record({ type: fc.constant("kill" as const), index }),
    fc.record({
      type: fc.constant("start" as const),
      index,
      clockMs: fc.integer({ min: -100_000, max: 100_000 }),
    }),
    fc.record({ type: fc.constant("change" as const), index }),
    fc.record({
      type: fc.constant("cut" as const),
      mask: fc.integer({ min: 0, max: 2 ** 18 - 1 }),
    }),
    fc.record({ type: fc.constant("heal" as const) }),
    fc.record({
      type: fc.constant("run" as const),
      ms: fc.integer({ min: 1, max: 400 }).map((steps) => steps * STEP_MS),
    }),
  );
  checkProperty(
    fc.property(fc.array(action, { maxLength: 15 }), (actions) => {
      const sim = startFleet(3, 6);
      for (const one of actions) {
        switch (one.type) {
          case "kill":
            sim.kill(one.index);
            break;
          case "start":
            sim.start(one.index, one.clockMs);
            break;
          case "change":
            sim.changeRow(one.index);
            break;
          case "cut":
            sim.cut((at) => (one.mask >> at) % 2 === 1);
            break;
          case "heal":
            sim.heal();
            break;
          case "run":
            sim.run(one.ms);
            break;
        }
      }
      sim.heal();
      sim.run(SETTLE_MS);
      assert.deepEqual(sim.disagreements(), []);
    }),
    { runs: 25 },
  );
});

test("neighbors connect 6,200 nodes, a third of them dead", () => {
  const [domains, nodesOfDomain] = [20, 310];
  const members = Array.from({ length: domains * nodesOfDomain }, (_, at) => ({
    node: `10.${at % domains}.${Math.floor(at / domains)}:7600`,
    domain: `d${at % domains}`,
  }));
  const links = new Map(members.map(({ node }) => [node, new Set<string>()]));
  for (const { node: self, domain } of members) {
    for (const peer of chooseNeighbors({ self, domain, members })) {
      links.get(self)?.add(peer);
      links.get(peer)?.add(self);
    }
  }
  for (const peers of links.values()) {
    assert.ok(peers.size <= MAX_CONTROL_LINKS);
  }
  const live = new Set(
    members.flatMap(({ node }, at) => at % 3 === 0 ? [] : [node]),
  );
  const [first = ""] = live;
  const reached = new Set([first]);
  let front = [first];
  let hops = 0;
  while (front.length > 0) {
    front = front.flatMap((node) => [...links.get(node) ?? []])
      .filter((node) =>
        live.has(node) && !reached.has(node) &&
        reached.add(node)
      );
    if (front.length > 0) hops++;
  }
  assert.equal(reached.size, live.size);
  assert.ok(hops <= 12, `${hops} hops`);
});
