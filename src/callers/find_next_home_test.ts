import { test } from "node:test";
import assert from "node:assert/strict";
import { createFleetState } from "../fleet/state.ts";
import { createLoadBalancingState } from "../load_balancing/state.ts";
import { findNextHome } from "./find_next_home.ts";
import type { CallContext } from "./state.ts";

const candidates = ["self", "other"].map((home) => ({
  home,
  domain: "d1",
  slots: 4,
  coldUntil: -Infinity,
}));

/** Context of a node that other nodes have sent `waiting` calls to. */
function contextOf(waiting: number): CallContext {
  const ctx: Partial<CallContext> = {
    self: "self",
    domain: "d1",
    fleet: {
      ...createFleetState({
        self: "self",
        domain: "d1",
        life: "own",
        startedAt: 0,
      }),
      byService: new Map([["one", new Map([["v1", candidates]])]]),
    },
    loadBalancing: createLoadBalancingState(),
    answerBytes: new Map(),
    ownReport: () => ({ running: 4, waiting, meanMs: 50, routeMs: 50 }),
    now: () => 0,
    random: () => 0,
  };
  return ctx as CallContext;
}

test("a request goes to another home if other nodes filled the local queue", () => {
  const route = {
    name: "a",
    prefix: "/a/",
    isIdempotent: true,
    timeoutMs: 1_000,
    objectiveMs: 200,
    maxAttempts: 2,
    urgency: 1,
    parts: [],
  };
  const find = (waiting: number) =>
    findNextHome({
      ctx: contextOf(waiting),
      service: "one",
      versions: ["v1"],
      route,
      tried: new Set(),
      bodyBytes: 0,
      objectiveLeftMs: 200,
      deadlineLeftMs: 800,
      deadlineRatio: 4,
      onlyFree: false,
    });
  assert.equal(find(8)?.home, "other");
});
