import { test } from "node:test";
import assert from "node:assert/strict";
import fc from "fast-check";
import { checkProperty } from "../testing/check_property.ts";
import { buildRing } from "./build_ring.ts";
import { delegateBroadcast, listFingers } from "./delegate_broadcast.ts";

const members = fc.uniqueArray(fc.nat(5_000).map((port) => `n:${port}`), {
  minLength: 1,
  maxLength: 320,
});

function spread(ids: readonly string[], origin: string) {
  const ring = buildRing(ids);
  const got = new Map<string, number>();
  const queue = [{ to: origin, until: origin, depth: 0 }];
  let depth = 0;
  for (let one = queue.shift(); one !== undefined; one = queue.shift()) {
    depth = Math.max(depth, one.depth);
    for (const next of delegateBroadcast(ring, one.to, one.until)) {
      got.set(next.to, (got.get(next.to) ?? 0) + 1);
      queue.push({ ...next, depth: one.depth + 1 });
    }
  }
  return { got, depth };
}

test("each member gets a broadcast once", () => {
  checkProperty(
    fc.property(members, fc.nat(), (ids, pick) => {
      const origin = ids[pick % ids.length] ?? "";
      const { got, depth } = spread(ids, origin);
      assert.equal(got.size, ids.length - 1);
      assert.ok([...got.values()].every((times) => times === 1));
      assert.ok(!got.has(origin));
      assert.ok(depth <= Math.ceil(Math.log2(ids.length + 1)));
    }),
    { runs: 100 },
  );
});

test("overlay neighbours grow with the logarithm of members", () => {
  const ids = Array.from({ length: 310 }, (_, index) => `n:${index}`);
  const ring = buildRing(ids);
  assert.ok(ids.every((id) => listFingers(ring, id).length <= 9));
});

test("an end that is not a member still bounds the range", () => {
  const ring = buildRing(["n:1", "n:2", "n:3", "n:4"]);
  const [first = "", second = ""] = ring.ids;
  const others = ring.ids.filter((id) => id !== second);
  const [reached] = delegateBroadcast(buildRing(others), first, second);
  assert.equal(reached, undefined);
});
