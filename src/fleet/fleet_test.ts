import { test } from "node:test";
import assert from "node:assert/strict";
import fc from "fast-check";
import { checkProperty } from "../testing/check_property.ts";
import { decideFleet, FORGET_AFTER_MS } from "./decide_fleet.ts";
import { isCutOff } from "./is_cut_off.ts";
import type { NodeRow } from "./messages.ts";
import { createFleetState, type FleetEffect, ownRow } from "./state.ts";

const endpoint = {
  id: "i-1",
  service: "one",
  version: "v1",
  slots: 4,
  coldMs: 0,
};

function rowOf(
  node: string,
  revision: number,
  id?: string,
  change: {
    readonly life?: string;
    readonly service?: string;
    readonly startedAt?: number;
  } = {},
): NodeRow {
  const { life = "first", service = "one", startedAt = 0 } = change;
  const fields = id === undefined ? undefined : { ...endpoint, id, service };
  return { node, domain: "d1", life, startedAt, revision, endpoint: fields };
}

function fleetOf() {
  return createFleetState({
    self: "a",
    domain: "d1",
    life: "own",
    startedAt: 1,
  });
}

type Fleet = ReturnType<typeof fleetOf>;

function homesOf(state: Fleet, service = "one") {
  return (state.byService.get(service)?.get("v1") ?? []).map((one) => one.home);
}

function receive(state: Fleet, row: NodeRow) {
  const rows = [row];
  return decideFleet(state, { type: "rows-received", rows, from: "c", now: 0 });
}

function tick(state: Fleet, now: number) {
  return decideFleet(state, { type: "ticked", leaders: new Set(), now });
}

function dialled(effects: readonly FleetEffect[]) {
  return effects.flatMap((effect) =>
    effect.type === "dial" ? [effect.node] : []
  );
}

function confirm(state: Fleet, row: NodeRow) {
  return decideFleet(state, { type: "confirmed", row, now: 1 });
}

function lose(state: Fleet, node: string) {
  return decideFleet(state, { type: "unlinked", node, now: 2 });
}

test("discovered node is dialled once", () => {
  const state = fleetOf();
  receive(state, rowOf("b", 1));
  assert.deepEqual(dialled(tick(state, 0)), ["b"]);
  receive(state, rowOf("b", 1));
  assert.deepEqual(dialled(tick(state, 1_000)), []);
});

test("only linked nodes are candidates", () => {
  const state = fleetOf();
  receive(state, rowOf("b", 1, "i-2"));
  assert.deepEqual(homesOf(state), []);
  confirm(state, rowOf("b", 1, "i-2"));
  assert.deepEqual(homesOf(state), ["b"]);
  lose(state, "b");
  assert.deepEqual(homesOf(state), []);
});

test("node that is linked again gets no calls before it sends its row", () => {
  const state = fleetOf();
  confirm(state, rowOf("b", 7, "i-2"));
  lose(state, "b");
  // Other nodes still send the row of the earlier process.
  receive(state, rowOf("b", 9, "i-2"));
  assert.deepEqual(homesOf(state), []);
  confirm(state, rowOf("b", 0, undefined, { life: "second" }));
  assert.deepEqual(homesOf(state), []);
  receive(state, rowOf("b", 9, "i-2"));
  assert.deepEqual(homesOf(state), []);
  const next = { life: "second", service: "two" };
  receive(state, rowOf("b", 1, "i-3", next));
  assert.deepEqual(homesOf(state), []);
  assert.deepEqual(homesOf(state, "two"), ["b"]);
});

test("new process at an address sends its row before it gets calls", () => {
  const state = fleetOf();
  confirm(state, rowOf("b", 7, "i-2"));
  const row = rowOf("b", 0, undefined, { life: "second" });
  const effects = decideFleet(state, { type: "hello-received", row, now: 2 });
  assert.deepEqual(effects, [
    { type: "send-hello", node: "b" },
    { type: "forward-rows", rows: [row], except: "b" },
  ]);
  assert.deepEqual(homesOf(state), []);
  // The hello was delayed: the link already leads to the later process.
  confirm(state, rowOf("b", 7, "i-2"));
  assert.deepEqual(homesOf(state), ["b"]);
});

test("row of a node that refused a call as misdirected is requested", () => {
  const state = fleetOf();
  confirm(state, rowOf("b", 7, "i-2"));
  const dispute = () =>
    decideFleet(state, { type: "suspected", node: "b", now: 2 });
  assert.deepEqual(dispute(), [{ type: "send-hello", node: "b" }]);
  assert.deepEqual(dispute(), []);
  assert.deepEqual(homesOf(state), []);
  confirm(state, rowOf("b", 8, "i-3", { service: "two" }));
  assert.deepEqual(homesOf(state, "two"), ["b"]);
});

test("row of an earlier process never replaces the current one", () => {
  const state = fleetOf();
  assert.deepEqual(receive(state, rowOf("a", 50, "i-old")), []);
  assert.equal(ownRow(state).endpoint, undefined);
  assert.equal(ownRow(state).life, "own");
  const peer = createFleetState({
    self: "b",
    domain: "d1",
    life: "peer",
    startedAt: 1,
  });
  receive(peer, rowOf("a", 50, "i-old"));
  confirm(peer, ownRow(state));
  assert.deepEqual(homesOf(peer), []);
  const changed = decideFleet(state, {
    type: "row-changed",
    endpoint,
    gone: [],
    now: 3,
  });
  assert.equal(changed[0]?.type, "send-own-row");
  receive(peer, ownRow(state));
  assert.deepEqual(homesOf(peer), ["a"]);
});

test("stopped instances of a node are kept when its process restarts", () => {
  const state = fleetOf();
  const gone = [{ id: "i-2", bornAt: 7 }];
  confirm(state, { ...rowOf("b", 1), gone });
  lose(state, "b");
  confirm(state, rowOf("b", 0, undefined, { life: "second" }));
  assert.deepEqual(state.gone.get("b")?.stopped, gone);
});

test("lost node is removed after a time", () => {
  const state = fleetOf();
  receive(state, rowOf("b", 1, "i-2"));
  const notice = { node: "b", life: "first", revision: 1 };
  decideFleet(state, { type: "lost-received", notice, from: "c", now: 0 });
  tick(state, FORGET_AFTER_MS - 1);
  assert.ok(state.rows.has("b"));
  tick(state, FORGET_AFTER_MS + 1_000);
  assert.ok(!state.rows.has("b"));
});

test("row with the highest revision is kept, in any order of receipt", () => {
  const revisions = fc.array(fc.integer({ min: 1, max: 20 }), { minLength: 1 });
  checkProperty(
    fc.property(revisions, (all) => {
      const state = fleetOf();
      for (const revision of all) {
        receive(state, rowOf("b", revision, `i-${revision}`));
      }
      const highest = Math.max(...all);
      assert.equal(state.rows.get("b")?.row.endpoint?.id, `i-${highest}`);
    }),
    { runs: 100 },
  );
});

test("row of a linked node is always from the process of the link", () => {
  const receipts = fc.record({
    kind: fc.constantFrom("row", "hello", "confirm", "lose", "suspect"),
    life: fc.constantFrom("first", "second", "third"),
    revision: fc.integer({ min: 0, max: 5 }),
  });
  checkProperty(
    fc.property(fc.array(receipts, { maxLength: 30 }), (all) => {
      const state = fleetOf();
      let confirmed: string | undefined;
      for (const { kind, life, revision } of all) {
        const row = rowOf("b", revision, "i-2", { life, service: life });
        if (kind === "row") receive(state, row);
        if (kind === "hello") {
          decideFleet(state, { type: "hello-received", row, now: 0 });
        }
        if (kind === "suspect") {
          decideFleet(state, { type: "suspected", node: "b", now: 0 });
        }
        if (kind === "confirm") confirm(state, row);
        if (kind === "lose") lose(state, "b");
        if (kind === "confirm") confirmed = life;
        if (kind === "lose") confirmed = undefined;
        for (const service of state.byService.keys()) {
          assert.equal(service, confirmed);
        }
      }
    }),
    { runs: 200 },
  );
});

// Guards against calls to an evacuated domain, and against a caller there that
// keeps too few links to the others.
test("evacuated domain has no candidates until the evacuation ends", () => {
  const state = fleetOf();
  for (const [index, node] of ["b", "c"].entries()) {
    const row = { ...rowOf(node, 1, `i-${node}`), domain: `d${index + 1}` };
    receive(state, row);
    decideFleet(state, { type: "confirmed", row, now: 0 });
  }
  const evacuate = (...domains: string[]) =>
    decideFleet(state, {
      type: "evacuations-changed",
      domains: new Set(domains),
    });
  assert.deepEqual(homesOf(state), ["b", "c"]);
  evacuate("d1", "d9");
  assert.deepEqual(homesOf(state), ["c"]);
  evacuate();
  assert.deepEqual(homesOf(state), ["b", "c"]);
});

test("caller in an evacuated domain links more homes of other domains", () => {
  const state = fleetOf();
  for (let index = 0; index < 30; index++) {
    const domain = index < 15 ? "d1" : "d2";
    receive(state, { ...rowOf(`n${index}`, 1, `i-${index}`), domain });
  }
  const services = ["one"];
  decideFleet(state, { type: "services-listed", services, now: 0 });
  const domains = new Set(["d1"]);
  decideFleet(state, { type: "evacuations-changed", domains });
  const homes = dialled(tick(state, 0))
    .filter((node) => Number(node.slice(1)) >= 15);
  assert.ok(homes.length >= 10, `${homes.length} home nodes`);
});

// Guards against a home node that does not notice the end of a partition.
test("node is cut off when no other domain is linked", () => {
  const state = fleetOf();
  assert.equal(isCutOff(state), false);
  const row = { ...rowOf("b", 1, "i-b"), domain: "d2" };
  receive(state, row);
  assert.equal(isCutOff(state), true);
  decideFleet(state, { type: "confirmed", row, now: 0 });
  assert.equal(isCutOff(state), false);
});
