import { test } from "node:test";
import assert from "node:assert/strict";
import { chooseCandidate } from "./choose_candidate.ts";
import {
  ejectHome,
  recordAttempt,
  recordAttemptEnd,
  recordNetworkTime,
  recordReport,
} from "./record_home.ts";
import {
  type Candidate,
  createLoadBalancingState,
  type LoadBalancingState,
} from "./state.ts";

function candidateOf(home: string, domain = "d1"): Candidate {
  return { home, domain, slots: 4, coldUntil: -Infinity };
}

const near = candidateOf("near");
const far = candidateOf("far", "d2");

function report(
  state: LoadBalancingState,
  home: string,
  [running, waiting, meanMs]: readonly [number, number, number],
) {
  const queue = { running, waiting, meanMs, routeMs: meanMs };
  recordReport(state, { home, report: queue, route: "a", now: 0 });
}

function choose(
  state = createLoadBalancingState(),
  opts: {
    bytes?: number;
    objectiveLeftMs?: number;
    deadlineRatio?: number;
    onlyFree?: boolean;
    tried?: string[];
    now?: number;
  } = {},
  candidates = [near, far],
) {
  return chooseCandidate(state, {
    route: "a",
    candidates,
    tried: new Set(opts.tried),
    ownDomain: "d1",
    bytes: opts.bytes ?? 1_000,
    objectiveLeftMs: opts.objectiveLeftMs ?? 150,
    objectiveMs: 150,
    deadlineLeftMs: 150 * (opts.deadlineRatio ?? 4),
    deadlineRatio: opts.deadlineRatio ?? 4,
    onlyFree: opts.onlyFree,
    now: opts.now ?? 0,
    random: () => 0,
  })?.home;
}

test("caller's domain is preferred while it has free slots", () => {
  const state = createLoadBalancingState();
  assert.equal(choose(state), "near");
  report(state, "near", [3, 0, 50]);
  report(state, "far", [0, 0, 50]);
  assert.equal(choose(state), "near");
});

test("small call leaves the caller's domain rather than wait", () => {
  const state = createLoadBalancingState();
  report(state, "near", [4, 2, 50]);
  assert.equal(choose(state), "far");
});

test("large body waits for a slot in the caller's domain", () => {
  const state = createLoadBalancingState();
  report(state, "near", [4, 2, 50]);
  assert.equal(choose(state, { bytes: 60_000 }), "near");
});

test("large body stays in the caller's domain even if it may be late", () => {
  const state = createLoadBalancingState();
  report(state, "near", [4, 12, 60]);
  assert.equal(choose(state, { bytes: 60_000 }), "near");
  assert.equal(choose(state, { bytes: 60_000, tried: ["near"] }), "far");
});

test("calls sent since the last report are counted", () => {
  const state = createLoadBalancingState();
  report(state, "near", [3, 0, 50]);
  for (let n = 0; n < 3; n++) recordAttempt(state, "near");
  assert.equal(choose(state), "far");
});

test("failing home is avoided, then tried again", () => {
  const state = createLoadBalancingState();
  for (let n = 0; n < 20; n++) {
    recordAttempt(state, "near");
    recordAttemptEnd(state, "near", n % 2 === 0, 0);
  }
  assert.equal(choose(state), "far");
  assert.equal(choose(state, { now: 20_000 }), "near");
});

test("slow endpoint gets fewer calls", () => {
  const state = createLoadBalancingState();
  report(state, "near", [0, 0, 400]);
  report(state, "far", [0, 0, 50]);
  assert.equal(choose(state), "far");
});

test("ejected home is the last choice", () => {
  const state = createLoadBalancingState();
  ejectHome(state, "near", 100);
  assert.equal(choose(state, { bytes: 1e6 }), "far");
  assert.equal(choose(state, { tried: ["far"] }), "near");
  assert.equal(choose(state, { tried: ["far", "near"] }), undefined);
});

test("faster domain is used only if the objective is at risk", () => {
  const state = createLoadBalancingState();
  report(state, "near", [0, 0, 80]);
  report(state, "far", [0, 0, 50]);
  assert.equal(choose(state, { objectiveLeftMs: 400 }), "near");
  assert.equal(choose(state, { objectiveLeftMs: 90 }), "far");
});

test("long calls of other routes do not make an endpoint slow", () => {
  const state = createLoadBalancingState();
  const near = { running: 0, waiting: 0, meanMs: 90, routeMs: 0 };
  recordReport(state, { home: "near", report: near, route: "a", now: 0 });
  report(state, "far", [0, 0, 10]);
  assert.equal(choose(state, { objectiveLeftMs: 60 }), "near");
});

test("waiting calls of an old report are ignored", () => {
  const state = createLoadBalancingState();
  report(state, "near", [4, 8, 50]);
  assert.equal(choose(state), "far");
  assert.equal(choose(state, { now: 1_000, bytes: 20_000 }), "near");
});

test("home counts as full when the wait puts the objective at risk", () => {
  const state = createLoadBalancingState();
  const isFull = (waiting: number) => {
    report(state, "near", [4, waiting, 40]);
    return chooseCandidate(state, {
      route: "a",
      candidates: [near],
      tried: new Set(),
      ownDomain: "d1",
      bytes: 0,
      objectiveLeftMs: 150,
      objectiveMs: 150,
      deadlineLeftMs: 600,
      deadlineRatio: 4,
      now: 0,
      random: () => 0,
    })?.isFull;
  };
  assert.equal(isFull(2), false);
  assert.equal(isFull(8), true);
});

test("home with a long network time is avoided, then tried again", () => {
  const state = createLoadBalancingState();
  for (const home of ["near", "far"]) report(state, home, [0, 0, 30]);
  for (let n = 0; n < 8; n++) {
    recordNetworkTime(state, { home: "near", networkMs: 90, now: 0 });
    recordNetworkTime(state, { home: "far", networkMs: 3, now: 0 });
  }
  assert.equal(choose(state), "far");
  assert.equal(choose(state, { now: 10_000 }), "near");
});

// Guards against calls that are sent to cold endpoints, only to wait there.
test("home whose cold endpoint allows no more starts counts as full", () => {
  const state = createLoadBalancingState();
  const queue = { running: 0, waiting: 0, meanMs: 50, routeMs: 50 };
  const reportStarts = (startsLeft: number) =>
    recordReport(state, {
      home: "near",
      report: { ...queue, startsLeft },
      route: "a",
      now: 0,
    });
  report(state, "far", [0, 0, 50]);
  reportStarts(0);
  assert.equal(choose(state), "far");
  assert.equal(choose(state, { now: 1_000 }), "near");
  reportStarts(1);
  assert.equal(choose(state), "near");
  recordAttempt(state, "near");
  assert.equal(choose(state), "far");
});

const LONG = { deadlineRatio: 6 };

test("call with a long deadline stays where it is in time", () => {
  const state = createLoadBalancingState();
  report(state, "near", [4, 2, 50]);
  assert.equal(choose(state), "far");
  assert.equal(choose(state, { ...LONG, objectiveLeftMs: 250 }), "near");
  assert.equal(choose(state, { ...LONG, objectiveLeftMs: 90 }), "far");
});

test("call with a long deadline that is late in both domains stays", () => {
  const state = createLoadBalancingState();
  for (const [home, waiting] of [["near", 12], ["far", 9]] as const) {
    report(state, home, [4, waiting, 60]);
  }
  assert.equal(choose(state, LONG), "near");
  assert.equal(choose(state, { ...LONG, objectiveLeftMs: -20 }), "near");
});

test("large call with a long deadline leaves only when it would be lost", () => {
  const state = createLoadBalancingState();
  report(state, "near", [4, 12, 60]);
  assert.equal(choose(state, LONG), "far");
  assert.equal(choose(state, { ...LONG, bytes: 60_000 }), "near");
  report(state, "near", [4, 120, 60]);
  assert.equal(choose(state, { ...LONG, bytes: 60_000 }), "far");
});

test("faster endpoint of the own domain gets the call", () => {
  const state = createLoadBalancingState();
  const second = candidateOf("second");
  report(state, "near", [1, 0, 50]);
  report(state, "second", [1, 0, 40]);
  assert.equal(choose(state, LONG, [near, second, far]), "second");
});

test("refused call takes a free home only, of another domain if it must", () => {
  const state = createLoadBalancingState();
  report(state, "near", [4, 12, 60]);
  report(state, "far", [4, 2, 60]);
  const onlyFree = { ...LONG, onlyFree: true };
  assert.equal(choose(state, onlyFree), undefined);
  report(state, "far", [2, 0, 60]);
  assert.equal(choose(state, onlyFree), "far");
  report(state, "near", [4, 1, 60]);
  assert.equal(choose(state, { ...onlyFree, objectiveLeftMs: 300 }), "far");
  assert.equal(choose(state, { ...onlyFree, tried: ["far"] }), "near");
});

test("slow VM is avoided until its report is old", () => {
  const state = createLoadBalancingState();
  const second = candidateOf("second");
  recordReport(state, {
    home: "near",
    report: {
      running: 1,
      waiting: 0,
      meanMs: 50,
      routeMs: 50,
      pacePercent: 250,
    },
    route: "a",
    now: 0,
  });
  report(state, "second", [1, 0, 70]);
  const at = (now: number) => choose(state, { now }, [near, second]);
  assert.equal(at(0), "second");
  assert.equal(at(600), "near");
});
