import { test } from "node:test";
import assert from "node:assert/strict";
import fc from "fast-check";
import { checkProperty } from "../testing/check_property.ts";
import { decideFleet } from "./decide_fleet.ts";
import { createFleetState, type NodeRow, ownRow } from "./state.ts";

const endpoint = {
  id: "i-1",
  service: "one",
  version: "v1",
  slots: 4,
  coldMs: 0,
};

function rowOf(node: string, revision: number, id?: string): NodeRow {
  const fields = id === undefined ? undefined : { ...endpoint, id };
  return { node, domain: "d1", revision, endpoint: fields };
}

function fleetOf() {
  return createFleetState({ self: "a", domain: "d1", revision: 1 });
}

function homesOf(state: ReturnType<typeof fleetOf>) {
  return (state.byService.get("one")?.get("v1") ?? []).map((one) => one.home);
}

test("a node that is heard of is dialled once", () => {
  const state = fleetOf();
  const rows = [rowOf("b", 1)];
  const hear = () => decideFleet(state, { type: "rows-heard", rows, now: 0 });
  assert.deepEqual(hear(), [{ type: "dial", node: "b" }]);
  assert.deepEqual(hear(), []);
});

test("only linked homes are candidates", () => {
  const state = fleetOf();
  const rows = [rowOf("b", 1, "i-2")];
  decideFleet(state, { type: "rows-heard", rows, now: 0 });
  assert.deepEqual(homesOf(state), []);
  decideFleet(state, { type: "linked", node: "b", now: 1 });
  assert.deepEqual(homesOf(state), ["b"]);
  decideFleet(state, { type: "unlinked", node: "b", now: 2 });
  assert.deepEqual(homesOf(state), []);
});

test("a row of an earlier life is outbid", () => {
  const state = fleetOf();
  const rows = [rowOf("a", 50, "i-old")];
  const effects = decideFleet(state, { type: "rows-heard", rows, now: 0 });
  assert.equal(ownRow(state).revision, 51);
  assert.equal(ownRow(state).endpoint, undefined);
  assert.equal(effects[0]?.type, "tell");
});

test("a node without a link for long is forgotten", () => {
  const state = fleetOf();
  const rows = [rowOf("b", 1, "i-2")];
  decideFleet(state, { type: "rows-heard", rows, now: 0 });
  const at = (now: number) => decideFleet(state, { type: "ticked", now });
  assert.deepEqual(at(60_000), []);
  assert.deepEqual(at(130_000), [{ type: "forget", node: "b" }]);
});

test("rows in any order end at the highest revision", () => {
  const revisions = fc.array(fc.integer({ min: 1, max: 20 }), { minLength: 1 });
  checkProperty(
    fc.property(revisions, (all) => {
      const state = fleetOf();
      for (const revision of all) {
        const rows = [rowOf("b", revision, `i-${revision}`)];
        decideFleet(state, { type: "rows-heard", rows, now: 0 });
      }
      const highest = Math.max(...all);
      assert.equal(state.rows.get("b")?.row.endpoint?.id, `i-${highest}`);
    }),
    { runs: 100 },
  );
});
