import { test } from "node:test";
import assert from "node:assert/strict";
import fc from "fast-check";
import type { CallEnd } from "../retry/messages.ts";
import { checkProperty } from "../testing/check_property.ts";
import { chooseHome } from "./choose_home.ts";
import { decideRouting } from "./decide_routing.ts";
import { overdueAfter } from "./recent_times.ts";
import { createRoutingState, type RoutingState } from "./state.ts";

const KEY = "portaal@v1";
const SERVED: CallEnd = { type: "answered", status: 200, load: 0.2 };
const FAILED: CallEnd = { type: "unknown", reason: "", isLate: false };
const HOMES = ["h0", "h1", "h2", "h3"];

function call(
  state: RoutingState,
  home: string,
  end: CallEnd,
  now: number,
  tookMs = 2,
) {
  const at = { key: KEY, home, now };
  decideRouting(state, { type: "dispatched", ...at });
  const wasOverdue = false;
  const rest = { route: "r", end, tookMs, wasOverdue };
  return decideRouting(state, { type: "ended", ...at, ...rest });
}

function choose(
  state: RoutingState,
  opts: {
    homes?: readonly string[];
    gateways?: readonly string[];
    tried?: readonly string[];
    now?: number;
    random?: [number, number];
  },
) {
  return chooseHome({
    directory: {
      homes: () =>
        (opts.homes ?? HOMES).map((home) => ({
          home,
          slots: 4,
          readySince: 0,
        })),
      remotes: () => [{
        domain: "b",
        region: "r",
        slots: 4,
        gateways: opts.gateways ?? [],
      }],
      isPresent: () => true,
    },
    state,
    service: "portaal",
    version: "v1",
    tried: opts.tried ?? [],
    mayLeave: true,
    region: "r",
    now: opts.now ?? 0,
    random: opts.random ?? [0, 0],
  });
}

const steps = fc.array(
  fc.record({
    home: fc.constantFrom(...HOMES),
    end: fc.constantFrom<CallEnd>(SERVED, FAILED, { type: "cancelled" }, {
      type: "cut",
      reason: "",
    }),
    afterMs: fc.integer({ min: 0, max: 500 }),
  }),
  { maxLength: 200 },
);

test("at most half of the home nodes are ejected", () => {
  checkProperty(
    fc.property(
      steps,
      fc.double({ min: 0, max: 0.99, noNaN: true }),
      (all, random) => {
        const state = createRoutingState();
        let now = 0;
        for (const { home, end, afterMs } of all) {
          now += afterMs;
          call(state, home, end, now);
          const known = [...state.services.get(KEY)?.values() ?? []];
          const out = known.filter((one) => one.ejections > 0).length;
          assert.ok(out <= known.length / 2);
          assert.ok(known.every((one) => one.inFlight === 0));
          const choice = choose(state, { now, random: [random, random] });
          assert.equal(choice.type, "home");
        }
      },
    ),
    { runs: 200 },
  );
});

test("failing home node is ejected, probed and reinstated", () => {
  const state = createRoutingState();
  for (const home of HOMES) call(state, home, SERVED, 0);
  for (let n = 0; n < 5; n++) call(state, "h0", FAILED, 0);
  const stats = state.services.get(KEY)?.get("h0");
  assert.ok(stats !== undefined && stats.ejections === 1);
  const at = (now: number) => choose(state, { homes: ["h0", "h1"], now });
  assert.deepEqual(at(10), { type: "home", to: "h1" });
  const alone = choose(state, { homes: ["h0"], now: 10 });
  assert.deepEqual(alone, { type: "home", to: "h0" });
  assert.deepEqual(at(3_000), { type: "home", to: "h0" });
  call(state, "h0", FAILED, 3_000);
  assert.equal(stats.ejections, 2);
  call(state, "h0", SERVED, 60_000);
  assert.equal(stats.ejections, 0);
});

test("overdue calls eject a home node", () => {
  const state = createRoutingState();
  for (const home of HOMES) call(state, home, SERVED, 0);
  const effects = [1, 2, 3, 4].flatMap((now) => {
    decideRouting(state, { type: "dispatched", key: KEY, home: "h2", now });
    return decideRouting(state, { type: "overdue", key: KEY, home: "h2", now });
  });
  assert.equal(effects[0]?.type, "ejected");
});

test("reported load affects the choice until it is too old", () => {
  const state = createRoutingState();
  call(state, "h0", { type: "answered", status: 200, load: 1.2 }, 0);
  const at = (now: number) => choose(state, { homes: ["h0", "h1"], now });
  assert.deepEqual(at(1), { type: "home", to: "h1" });
  assert.deepEqual(at(5_000), { type: "home", to: "h0" });
});

test("calls leave the domain only when its home nodes can't serve them", () => {
  const state = createRoutingState();
  const gateways = ["g"];
  assert.equal(choose(state, { gateways }).type, "home");
  assert.equal(choose(state, { gateways, homes: [] }).type, "gateway");
  const tried = HOMES;
  assert.equal(choose(state, { gateways, tried }).type, "gateway");
  assert.equal(choose(state, { tried }).type, "none");
  for (const home of HOMES) {
    call(state, home, { type: "answered", status: 200, load: 2 }, 0);
  }
  assert.equal(choose(state, { gateways }).type, "gateway");
  assert.equal(choose(state, {}).type, "home");
});

test("overdue limit is derived from the route's recent times", () => {
  const state = createRoutingState();
  assert.equal(overdueAfter(state, "r"), Infinity);
  for (let n = 0; n < 64; n++) call(state, "h0", SERVED, n, 100);
  assert.equal(overdueAfter(state, "r"), 300);
});

test("home nodes without calls are dropped", () => {
  const state = createRoutingState();
  call(state, "h0", SERVED, 0);
  const effects = decideRouting(state, { type: "swept", now: 100_000 });
  assert.deepEqual(effects, [{ type: "idle", home: "h0" }]);
  assert.equal(state.services.size, 0);
});
