import { test } from "node:test";
import assert from "node:assert/strict";
import fc from "fast-check";
import { pingOf, PROCESS_START } from "../testing/announced_instance.ts";
import { checkProperty } from "../testing/check_property.ts";
import { decideLocalEndpoint } from "./decide_local_endpoint.ts";
import {
  isHealthWanted,
  isPresent,
  MAX_PING_DELAY_MS,
} from "./judge_presence.ts";
import {
  createLocalEndpointState,
  InstancePhase,
  type LocalEndpointState,
} from "./state.ts";

/** The endpoint started before this process. */
const START = { ...PROCESS_START, wallAt: 50_000 };
const BORN_AT = 9_000;
const LEASE_MS = 2 * START.pingIntervalMs;

function createState() {
  return createLocalEndpointState(START);
}

function ping(
  state: LocalEndpointState,
  now: number,
  seq: number,
  bornAt = BORN_AT,
) {
  return decideLocalEndpoint(state, {
    type: "pinged",
    ping: pingOf({ bornAt, seq }),
    now,
  });
}

function answerHealth(
  state: LocalEndpointState,
  isDenied: boolean,
  now: number,
) {
  const event = { type: "health-answered", id: "i-1", isDenied, now } as const;
  return decideLocalEndpoint(state, event);
}

/** Whether the endpoint is used at a time without another ping. */
function isUsedAt(state: LocalEndpointState, now: number): boolean {
  decideLocalEndpoint(state, { type: "presence-checked", now });
  return state.current !== undefined && isPresent(state);
}

// An endpoint that had left was used until it exited: nothing but its late ping
// was known of it after all processes had ended.
test("one ping to a new process does not prove that its sender stays", () => {
  const late = fc.integer({ min: 0, max: MAX_PING_DELAY_MS - 1 });
  checkProperty(
    fc.property(late, (now) => {
      const state = createState();
      assert.equal(ping(state, now, 9).type, "started");
      assert.equal(isUsedAt(state, now), now < START.unprovenMs);
      assert.equal(isUsedAt(state, START.unprovenMs), false);
    }),
    { runs: 200 },
  );
});

test("late pings that arrive together count as one", () => {
  const state = createState();
  for (const seq of [7, 8, 9]) ping(state, 1_000 + seq, seq);
  assert.equal(isUsedAt(state, START.unprovenMs - 1), true);
  assert.equal(isUsedAt(state, START.unprovenMs), false);
});

test("late pings prove their sender for two intervals at most", () => {
  const times = fc.array(fc.integer({ min: 0, max: MAX_PING_DELAY_MS - 1 }), {
    minLength: 1,
    maxLength: 5,
  });
  checkProperty(
    fc.property(times, (arrivals) => {
      const state = createState();
      arrivals.sort((a, b) => a - b);
      for (const [index, now] of arrivals.entries()) ping(state, now, index);
      const last = arrivals.at(-1) ?? 0;
      const end = Math.max(START.unprovenMs, last + LEASE_MS);
      assert.equal(isUsedAt(state, end), false);
    }),
    { runs: 200 },
  );
});

// Several late pings look like those of an endpoint that stays.
test("endpoint that states that it leaves is not used on late pings", () => {
  const late = fc.integer({ min: 0, max: MAX_PING_DELAY_MS - 1 });
  checkProperty(
    fc.property(fc.array(late, { minLength: 1, maxLength: 6 }), (times) => {
      const state = createState();
      times.sort((a, b) => a - b);
      for (const [index, now] of times.entries()) {
        ping(state, now, index);
        answerHealth(state, true, now);
      }
      const last = Math.max(START.unprovenMs, times.at(-1) ?? 0);
      assert.equal(isUsedAt(state, last), false);
    }),
    { runs: 200 },
  );
});

test("health answer of an endpoint that stays takes back an earlier one", () => {
  const state = createState();
  ping(state, 500, 1);
  answerHealth(state, true, 600);
  assert.equal(ping(state, 4_000, 2).type, "refreshed");
  assert.equal(isUsedAt(state, 4_000), false);
  answerHealth(state, false, 4_100);
  assert.equal(ping(state, 5_500, 3).type, "resumed");
  const other = {
    type: "health-answered",
    isDenied: true,
    now: 5_600,
  } as const;
  decideLocalEndpoint(state, { ...other, id: "i-0" });
  assert.equal(isUsedAt(state, 5_600), true);
});

test("health is asked for only where the answer matters", () => {
  const state = createState();
  ping(state, 500, 1);
  assert.equal(isHealthWanted(state), false);
  ping(state, 2_000, 2);
  assert.equal(isHealthWanted(state), true);
  answerHealth(state, true, 4_000);
  assert.equal(isUsedAt(state, 4_000), false);
  assert.equal(isHealthWanted(state), true);
  ping(state, MAX_PING_DELAY_MS, 3);
  assert.equal(isHealthWanted(state), false);
});

test("endpoint that pings regularly is used without a gap", () => {
  const state = createState();
  let seq = 0;
  for (let now = 1_200; now < 20_000; now += START.pingIntervalMs) {
    ping(state, now, ++seq);
    assert.ok(isUsedAt(state, now + START.pingIntervalMs - 1), String(now));
  }
  // After so long no ping can be from before the start.
  assert.ok(isUsedAt(state, 90_000));
});

test("endpoint that was not used is used again after its next ping", () => {
  const state = createState();
  ping(state, 500, 1);
  assert.equal(isUsedAt(state, START.unprovenMs), false);
  assert.equal(ping(state, START.unprovenMs + 10, 2).type, "resumed");
  assert.equal(isUsedAt(state, START.unprovenMs + 10), true);
});

test("endpoint that started after its node's process is used at once", () => {
  const state = createState();
  ping(state, START.unprovenMs + 10, 1, START.wallAt);
  assert.equal(isUsedAt(state, 90_000), true);
});

test("peer that knows what left before proves the others", () => {
  const recall = { type: "stopped-received", gone: [] } as const;
  const early = createState();
  decideLocalEndpoint(early, { ...recall, isComplete: true });
  ping(early, 500, 1);
  assert.equal(isUsedAt(early, 90_000), true);
  const later = createState();
  ping(later, 500, 1);
  decideLocalEndpoint(later, { ...recall, isComplete: false });
  assert.equal(isUsedAt(later, START.unprovenMs), false);
  const change = decideLocalEndpoint(later, { ...recall, isComplete: true });
  assert.equal(change.type, "resumed");
  assert.equal(isUsedAt(later, 90_000), true);
});

test("instance that drained is not brought back after its successor", () => {
  const state = createState();
  ping(state, 0, 1);
  const draining = { phase: InstancePhase.Draining, id: "i-1", seq: 2 };
  assert.ok(state.current);
  state.current = { ...state.current, ...draining };
  ping(state, 100, 1, BORN_AT + 1);
  assert.equal(ping(state, 30_000, 9).type, "none");
});
