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

const nodesPerDomain = 5;
const domains = ["zone-a", "zone-b", "zone-c"] as const;
const all = domains.flatMap((domain, place) =>
  Array.from({ length: nodesPerDomain }, (_, index) => ({
    id: `10.0.${place}.${index + 1}:7000`,
    domain,
  }))
);
const seeds = all.filter(({ id }) => id.endsWith(".1:7000"))
  .map(({ id }) => id);

const kinds = [
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
  readonly kind: typeof kinds[number];
  readonly pick: number;
}

const faults = fc.array(
  fc.record({ kind: fc.constantFrom(...kinds), pick: fc.nat(10_000) }),
  { maxLength: 24 },
);

const at = <T>(values: readonly T[], pick: number): T => {
  const value = values[pick % values.length];
  assert.ok(value !== undefined);
  return value;
};

function append(world: ConfigSimulation) {
  const seq = world.log.length + 1;
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
  world.log.push({ offset: seq, body: JSON.stringify(envelope) });
}

function start(
  world: ConfigSimulation,
  one: typeof all[number],
  clock: number,
) {
  const boot = `boot-${world.now}-${clock}`;
  startConfigNode(world, { ...one, seeds, startedAt: 1_000_000 + clock, boot });
}

function strike(world: ConfigSimulation, { kind, pick }: Fault) {
  switch (kind) {
    case "lose":
    case "double":
    case "cross":
    case "none":
      world.queueFault = kind;
      break;
    case "log-out":
      world.isLogOut = true;
      break;
    case "log-back":
      world.isLogOut = false;
      break;
    case "cut":
      world.cut.add(at(domains, pick));
      break;
    case "heal":
      world.cut.clear();
      break;
    case "restart":
      start(world, at(all, pick), world.now);
      break;
    case "clock-back":
      start(world, at(all, pick), -world.now);
      break;
    case "herd":
      for (const [index, one] of all.entries()) {
        if ((index + pick) % 2 === 0) start(world, one, world.now);
      }
      break;
    default:
      exhausted(kind);
  }
}

function startWorld(): ConfigSimulation {
  const world = createConfigSimulation();
  for (const one of all) start(world, one, 0);
  append(world);
  for (let tick = 0; tick < 12; tick++) tickConfigSimulation(world);
  return world;
}

function assertConverged(world: ConfigSimulation) {
  const versions = [...world.nodes.values()].map((one) => one.serving?.version);
  assert.deepEqual(versions, all.map(() => world.log.length));
  const digests = [...world.nodes.values()].map((one) => one.config.digest);
  assert.equal(new Set(digests).size, 1);
}

test("all start to serve the head", () => {
  assertConverged(startWorld());
});

test("no address goes back, and all reach the head", () => {
  checkProperty(
    fc.property(faults, (struck) => {
      const world = startWorld();
      for (const fault of struck) {
        append(world);
        strike(world, fault);
        tickConfigSimulation(world);
      }
      world.isLogOut = false;
      world.cut.clear();
      world.queueFault = "none";
      append(world);
      for (let tick = 0; tick < 60; tick++) tickConfigSimulation(world);
      assertConverged(world);
    }),
    { runs: 40 },
  );
});
