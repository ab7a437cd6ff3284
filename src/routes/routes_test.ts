import { test } from "node:test";
import assert from "node:assert/strict";
import fc from "fast-check";
import { checkProperty } from "../testing/check_property.ts";
import { tableOf } from "../testing/route_tables.ts";
import { adoptTable } from "./adopt_table.ts";
import { findRoute } from "./find_route.ts";
import { pickService } from "./pick_service.ts";
import { createRoutesState } from "./state.ts";

test("route with the longest matching prefix is found", () => {
  const table = tableOf(1, { "/a/": "one", "/a/b/": "two", "/": "root" });
  const nameAt = (path: string) =>
    findRoute(table, "shop.example", path)?.parts[0]?.service;
  assert.equal(nameAt("/a/x"), "one");
  assert.equal(nameAt("/a/b/x?q=/a/b/c/"), "two");
  assert.equal(nameAt("/a/bc"), "one");
  assert.equal(nameAt("/z"), "root");
  assert.equal(findRoute(table, "other.example", "/a/x"), undefined);
  assert.ok(findRoute(table, "SHOP.example:80", "/a/x"));
});

test("path without a matching prefix has no route", () => {
  const table = tableOf(1, { "/a/": "one" });
  assert.equal(findRoute(table, "shop.example", "/ab/x"), undefined);
  assert.equal(findRoute(table, "shop.example", "/a"), undefined);
  assert.equal(findRoute(table, "shop.example", "*"), undefined);
});

test("older table never replaces a newer one", () => {
  checkProperty(
    fc.property(fc.array(fc.integer({ min: 1, max: 9 })), (versions) => {
      const state = createRoutesState();
      let highest = 0;
      for (const version of versions) {
        adoptTable(state, tableOf(version, { "/a/": "one" }));
        highest = Math.max(highest, version);
        assert.equal(state.table?.version, highest);
      }
    }),
    { runs: 100 },
  );
});

test("services get exact shares over full cycles of the weights", () => {
  const state = createRoutesState();
  const table = tableOf(1, { "/a/": { one: 90, two: 10 } });
  const route = findRoute(table, "shop.example", "/a/x");
  assert.ok(route);
  const counts = new Map<string, number>();
  for (let n = 0; n < 30; n++) {
    const service = pickService(state, route);
    counts.set(service, (counts.get(service) ?? 0) + 1);
  }
  assert.deepEqual([...counts].sort(), [["one", 27], ["two", 3]]);
});
