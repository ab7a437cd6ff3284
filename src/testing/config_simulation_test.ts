import { test } from "node:test";
import assert from "node:assert/strict";
import fc from "fast-check";
import { exhausted } from "../core/exhausted.ts";
import { checkProperty } from "./check_property.ts";
import {
  type ConfigSimulation,
  createConfigSimulation,
  startConfigNode,
  tickConfigSimulation,
} from "./create_config_simulation.ts";

const NODES_PER_DOMAIN = 5;
const DOMAINS = ["zone-a", "zone-b", "zone-c"] as const;
const ALL_NODES = DOMAINS.flatMap((domain, place) =>
  Array.from({ length: NODES_PER_DOMAIN }, (_, index) => ({
    id: `10.0.${place}.${index + 1}:7000`,
    domain,
  }))
);
const SEEDS = ALL_NODES.filter(({ id }) => id.endsWith(".1:7000"))
  .map(({ id }) => id);

const FAULT_KINDS = [
  "lose",
  "double",
  "cross",
  "none",
  "log-out",
  "log-back",
  "cut",
  "heal",
  "restart",
  "clock-back",
  "herd",
] as const;

interface Fault {
  readonly kind: typeof FAULT_KINDS[number];
  readonly pick: number;
}

const faults = fc.array(
  fc.record({ kind: fc.constantFrom(...FAULT_KINDS), pick: fc.nat(10_000) }),
  { maxLength: 24 },
);

const pickFrom = <T>(values: readonly T[], pick: number): T => {
  const value = values[pick % values.length];
  assert.ok(value !== undefined);
  return value;
};

function append(sim: ConfigSimulation) {
  const seq = sim.log.length + 1;
  const value = { customer: `c${seq}`, plan: "gold" };
  const change = { list: "customers", key: value.customer, expected: 0, value };
  const use = {
    plan: "gold",
    service: "portaal",
    version: "v1",
    whenUnjudged: "proceed",
    routes: [{
      name: "accounts",
      path: "/accounts",
      methods: ["GET"],
      repeatable: true,
      timeoutMs: 1_000,
    }],
  };
  const key = "gold/portaal";
  const first = { list: "uses", key, expected: 0, value: use };
  const changes = seq === 1 ? [first, change] : [change];
  const record = { kind: "edit", editor: "eva", changes };
  const envelope = { writer: "w", seq, at: "2026-01-01T00:00:00Z", record };
  sim.log.push({ offset: seq, body: JSON.stringify(envelope) });
}

function startNode(
  sim: ConfigSimulation,
  one: typeof ALL_NODES[number],
  clock: number,
) {
  const boot = `boot-${sim.now}-${clock}`;
  startConfigNode(sim, {
    ...one,
    seeds: SEEDS,
    startedAt: 1_000_000 + clock,
    boot,
  });
}

function applyFault(sim: ConfigSimulation, { kind, pick }: Fault) {
  switch (kind) {
    case "lose":
    case "double":
    case "cross":
    case "none":
      sim.queueFault = kind;
      break;
    case "log-out":
      sim.isLogOut = true;
      break;
    case "log-back":
      sim.isLogOut = false;
      break;
    case "cut":
      sim.partitioned.add(pickFrom(DOMAINS, pick));
      break;
    case "heal":
      sim.partitioned.clear();
      break;
    case "restart":
      startNode(sim, pickFrom(ALL_NODES, pick), sim.now);
      break;
    case "clock-back":
      startNode(sim, pickFrom(ALL_NODES, pick), -sim.now);
      break;
    case "herd":
      for (const [index, one] of ALL_NODES.entries()) {
        if ((index + pick) % 2 === 0) startNode(sim, one, sim.now);
      }
      break;
    default:
      exhausted(kind);
  }
}

function startSimulation(): ConfigSimulation {
  const sim = createConfigSimulation();
  for (const one of ALL_NODES) startNode(sim, one, 0);
  append(sim);
  for (let tick = 0; tick < 12; tick++) tickConfigSimulation(sim);
  return sim;
}

function assertConverged(sim: ConfigSimulation) {
  const versions = [...sim.nodes.values()].map((one) => one.serving?.version);
  assert.deepEqual(versions, ALL_NODES.map(() => sim.log.length));
  const digests = [...sim.nodes.values()].map((one) => one.config.digest);
  assert.equal(new Set(digests).size, 1);
}

test("all nodes serve the head of the log after their start", () => {
  assertConverged(startSimulation());
});

test("versions never decrease, and all nodes converge", () => {
  checkProperty(
    fc.property(faults, (drawn) => {
      const sim = startSimulation();
      for (const fault of drawn) {
        append(sim);
        applyFault(sim, fault);
        tickConfigSimulation(sim);
      }
      sim.isLogOut = false;
      sim.partitioned.clear();
      sim.queueFault = "none";
      append(sim);
      for (let tick = 0; tick < 60; tick++) tickConfigSimulation(sim);
      assertConverged(sim);
    }),
    { runs: 40 },
  );
});
