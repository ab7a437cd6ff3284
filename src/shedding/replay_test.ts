import { test, type TestContext } from "node:test";
import assert from "node:assert/strict";
import {
  describeServed,
  type OverloadOptions,
  type RouteLoad,
  type Served,
  simulateOverload,
} from "../testing/simulate_overload.ts";

/** Mean run, objective and deadline in milliseconds, and urgency. */
type Terms = readonly [number, number, number, number];

function routeOf(
  name: string,
  perSecond: number | ((now: number) => number),
  terms: Terms,
  rest: Partial<RouteLoad> = {},
): RouteLoad {
  const [runMs, objectiveMs, deadlineMs, urgency] = terms;
  return {
    name,
    service: "desk",
    perSecond: typeof perSecond === "number" ? () => perSecond : perSecond,
    runMs,
    objectiveMs,
    deadlineMs,
    urgency,
    worth: [1, 0.1],
    ...rest,
  };
}

function replay(t: TestContext, load: Partial<OverloadOptions>) {
  const served = simulateOverload({
    endpoints: new Map([["desk", [1, 1, 1.3, 1.6]]]),
    slots: 6,
    routes: [],
    durationMs: 15_000,
    areRetried: true,
    ...load,
  });
  t.diagnostic(t.name);
  for (const line of describeServed(served)) t.diagnostic(line);
  return (name: string): Served => {
    const sums = served.get(name);
    assert.ok(sums, name);
    return sums;
  };
}

const servedShare = ({ calls, refused }: Served) => 1 - refused / calls;
const worthShare = ({ calls, worth }: Served) => worth / calls;

const HISTORY: Terms = [39, 226, 677, 0];
const PHOTO: Terms = [114, 1_073, 1_609, 2];
const CHECK: Terms = [25, 125, 374, 1];
const STATUS: Terms = [95, 428, 1_071, 1];
const LOOKUP: Terms = [60, 200, 800, 2];
const BOOKING: Terms = [75, 250, 1_000, 1];

test("photo uploads at twice their rate from 6 to 12 s", (t) => {
  const of = replay(t, {
    endpoints: new Map([
      ["desk", [1, 1, 1.3, 1.3, 1.7, 2.3]],
      ["ledger", Array(14).fill(1.2)],
    ]),
    slots: 4,
    routes: [
      routeOf("photos", (now) => now > 6_000 && now < 12_000 ? 90 : 45, PHOTO, {
        worth: [0.86, 0.39],
      }),
      routeOf("histories", 108, HISTORY, { worth: [3.3, 0.39] }),
      routeOf("check", 0, CHECK),
      routeOf("status", 250, STATUS, {
        service: "ledger",
        nested: { route: "check", count: 1 },
      }),
    ],
    durationMs: 18_000,
  });
  const [histories, photos] = [of("histories"), of("photos")];
  assert.ok(servedShare(histories) > servedShare(photos) - 0.05);
  assert.ok(worthShare(histories) > worthShare(photos) - 0.15);
  assert.ok(servedShare(photos) > 0.9);
});

function topUp(rate: (now: number) => number): readonly RouteLoad[] {
  return [
    routeOf("balance", (now) => 0.56 * rate(now), [268, 839, 5_046, 2], {
      worth: [1, 0.5],
      timeoutMs: 2_500,
    }),
    routeOf("purchase", (now) => 0.21 * rate(now), [351, 1_246, 8_034, 1], {
      worth: [2, 1],
      timeoutMs: 4_000,
    }),
    routeOf("voucher", (now) => 0.23 * rate(now), [681, 2_087, 12_045, 2], {
      worth: [1, 0.5],
      timeoutMs: 6_000,
    }),
  ];
}

test("long deadlines, demand in waves up to twice the capacity", (t) => {
  const of = replay(t, {
    endpoints: new Map([["desk", [1, 1, 1.5, 2.5]]]),
    slots: 13,
    routes: topUp((now) => 76 * (1.15 + 0.85 * Math.sin(now / 2_069))),
    durationMs: 39_000,
  });
  for (const name of ["balance", "purchase", "voucher"]) {
    assert.ok(servedShare(of(name)) > 0.95, name);
  }
});

test("long deadlines, twice the capacity", (t) => {
  const of = replay(t, {
    endpoints: new Map([["desk", [1, 1, 1.5, 2.5]]]),
    slots: 13,
    routes: topUp(() => 160),
  });
  assert.ok(worthShare(of("purchase")) > worthShare(of("balance")));
  assert.ok(servedShare(of("voucher")) > 0.25);
});

test("deadlines of four times the objective, 1.3 times the capacity", (t) => {
  const of = replay(t, {
    routes: [
      routeOf("lookup", 180, LOOKUP),
      routeOf("booking", 120, BOOKING),
      routeOf("upload", 25, [95, 300, 1_200, 2]),
    ],
  });
  // A queue without classes gives 0.71, 0.97 and 0.98 on these arrivals.
  assert.ok(worthShare(of("lookup")) > 0.7);
  assert.ok(worthShare(of("booking")) > 0.95);
  assert.ok(worthShare(of("upload")) > 0.93);
});

test("refused callers come back every 5 ms to full queues", (t) => {
  const of = replay(t, {
    routes: [routeOf("lookup", 260, LOOKUP), routeOf("booking", 160, BOOKING)],
    isAbusive: true,
  });
  assert.ok(worthShare(of("booking")) > 0.9);
  assert.ok(worthShare(of("lookup")) > 0.4);
});

test("nested calls of running calls at 1.5 times the capacity", (t) => {
  const of = replay(t, {
    endpoints: new Map([
      ["desk", [1, 1.3, 1.7]],
      ["ledger", [1, 1, 1.5, 2]],
    ]),
    slots: 4,
    routes: [
      routeOf("status", 160, STATUS, {
        service: "ledger",
        nested: { route: "check", count: 2 },
        worth: [0.86, 0.26],
      }),
      routeOf("check", 0, CHECK),
      routeOf("photos", 30, PHOTO, { worth: [0.86, 0.39] }),
      routeOf("histories", 75, HISTORY, { worth: [3.3, 0.39] }),
    ],
  });
  assert.ok(servedShare(of("check")) > 0.98);
  assert.ok(servedShare(of("histories")) > servedShare(of("photos")) - 0.05);
});

test("urgent calls alone at twice the capacity starve no other", (t) => {
  const of = replay(t, {
    slots: 4,
    routes: [
      routeOf("histories", 620, HISTORY, { worth: [3.3, 0.39] }),
      routeOf("photos", 30, PHOTO, { worth: [0.86, 0.39] }),
    ],
  });
  const [histories, photos] = [of("histories"), of("photos")];
  const calls = histories.calls + photos.calls;
  const all = 1 - (histories.refused + photos.refused) / calls;
  assert.ok(servedShare(photos) > all / 4);
  assert.ok(servedShare(histories) > servedShare(photos) - 0.05);
});
