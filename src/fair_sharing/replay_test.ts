import { test, type TestContext } from "node:test";
import assert from "node:assert/strict";
import {
  type RouteLoad,
  type Served,
  simulateOverload,
} from "../testing/simulate_overload.ts";

const SMALL = Array.from({ length: 69 }, (_, n) => `small-${n}`);

/** `shares` maps accounts to their shares of all calls. */
function replay(
  t: TestContext,
  perSecond: number,
  shares: ReadonlyMap<string, number>,
) {
  const history: Omit<RouteLoad, "name" | "runMs"> = {
    service: "desk",
    perSecond: () => perSecond,
    objectiveMs: 428,
    deadlineMs: 1_071,
    urgency: 1,
    worth: [1, 0.3],
    accounts: shares,
  };
  const served = simulateOverload({
    endpoints: new Map([["desk", [1, 1, 1.3, 1.6]]]),
    slots: 4,
    routes: [
      { ...history, name: "status", runMs: 60 },
      { ...history, name: "payment", runMs: 130 },
    ],
    durationMs: 20_000,
    areRetried: true,
  });
  const sums = (names: readonly string[]): number => {
    let calls = 0;
    let refused = 0;
    for (const name of names) {
      for (const route of ["status", "payment"]) {
        const one: Served | undefined = served.get(`${route}/${name}`);
        calls += one?.calls ?? 0;
        refused += one?.refused ?? 0;
      }
    }
    return 1 - refused / Math.max(1, calls);
  };
  const called = [...shares.keys()].filter((name) =>
    served.has(`status/${name}`) || served.has(`payment/${name}`)
  );
  const each = called.map((name) => sums([name]));
  each.sort((a, b) => a - b);
  const tenth = each.slice(0, Math.ceil(each.length / 10));
  const result = {
    all: sums([...shares.keys()]),
    hot: sums(["hot"]),
    small: sums(SMALL),
    worstTenth: tenth.reduce((a, b) => a + b, 0) / tenth.length,
  };
  t.diagnostic(`${t.name}, share of calls served: ${JSON.stringify(result)}`);
  return result;
}

test("account of 40% of the demand at seven times its rate", (t) => {
  const shares = new Map(SMALL.map((name) => [name, 0.6 / SMALL.length]));
  const { all, hot, worstTenth } = replay(
    t,
    140,
    new Map([["hot", 0.4], ...shares]),
  );
  assert.ok(worstTenth > 0.9 * all);
  assert.ok(hot > all / 4);
});

test("the same at three times the capacity", (t) => {
  const shares = new Map(SMALL.map((name) => [name, 0.6 / SMALL.length]));
  const { all, hot, worstTenth } = replay(
    t,
    220,
    new Map([["hot", 0.4], ...shares]),
  );
  assert.ok(worstTenth > all / 4);
  assert.ok(hot > all / 4);
});

test("many accounts of one call each gain no advantage", (t) => {
  const once = Array.from({ length: 2_000 }, (_, n) => `once-${n}`);
  const { all, small } = replay(
    t,
    170,
    new Map([
      ...SMALL.map((name): [string, number] => [name, 0.5 / SMALL.length]),
      ...once.map((name): [string, number] => [name, 0.5 / once.length]),
    ]),
  );
  assert.ok(small > 0.85 * all);
});
