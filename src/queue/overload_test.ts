import { test } from "node:test";
import assert from "node:assert/strict";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { decideQueue } from "./decide_queue.ts";
import { createQueueState, type QueuedCall } from "./state.ts";

const SLOTS = 6;
const OBJECTIVE_MS = 200;
const DEADLINE_MS = 800;
const DURATION_MS = 20_000;
const SEED = 20_261_204;

/** Calls answered within the objective, answered late, and refused. */
interface Served {
  withinObjective: number;
  late: number;
  refused: number;
}

interface Load {
  /** Rate of arriving work as a multiple of the endpoint's capacity. */
  readonly utilization: number;
  /** Shortest and longest run time. */
  readonly runMs: readonly [number, number];
}

/** A queueing policy. `offer` and `end` return the keys of calls to start. */
interface Policy {
  offer(call: QueuedCall, now: number): readonly number[];
  end(key: number, now: number): readonly number[];
  refused(): number;
}

/** The queue under test. */
function queuePolicy(): Policy {
  const state = createQueueState();
  const gate = { type: "open", slots: SLOTS } as const;
  decideQueue(state, {
    type: "gate-changed",
    gate,
    coldUntil: -Infinity,
    now: 0,
  });
  let refused = 0;
  const startsOf = (effects: ReturnType<typeof decideQueue>) =>
    effects.flatMap((effect) => {
      if (effect.type === "refuse") refused++;
      return effect.type === "start" ? [effect.key] : [];
    });
  return {
    offer: (call, now) =>
      startsOf(decideQueue(state, {
        type: "arrived",
        call,
        mayBeLate: true,
        now,
      })),
    end: (key, now) =>
      startsOf(
        decideQueue(state, { type: "ended", key, isAnswered: true, now }),
      ),
    refused: () => refused,
  };
}

/** A first-in, first-out queue that refuses nothing, for comparison. */
function fifoPolicy(): Policy {
  const waiting: number[] = [];
  let running = 0;
  const pump = () => {
    const started: number[] = [];
    while (running < SLOTS && waiting.length > 0) {
      started.push(waiting.shift() ?? 0);
      running++;
    }
    return started;
  };
  return {
    offer(call) {
      waiting.push(call.key);
      return pump();
    },
    end() {
      running--;
      return pump();
    },
    refused: () => 0,
  };
}

function simulate(policy: Policy, load: Load): Served {
  const random = xoroshiro128plus(SEED);
  const [least, most] = load.runMs;
  const meanGapMs = (least + most) / 2 / SLOTS / load.utilization;
  const served: Served = { withinObjective: 0, late: 0, refused: 0 };
  const arrivedAt = new Map<number, number>();
  const ends: { key: number; at: number }[] = [];
  let nextAt = 0;
  let lastKey = 0;
  const start = (keys: readonly number[], now: number) => {
    for (const key of keys) {
      ends.push({ key, at: now + uniformInt(random, least, most) });
    }
    ends.sort((a, b) => a.at - b.at);
  };
  while (nextAt < DURATION_MS || ends.length > 0) {
    const end = ends[0];
    if (end !== undefined && (end.at <= nextAt || nextAt >= DURATION_MS)) {
      ends.shift();
      const tookMs = end.at - (arrivedAt.get(end.key) ?? 0);
      if (tookMs <= OBJECTIVE_MS) served.withinObjective++;
      else if (tookMs <= DEADLINE_MS) served.late++;
      start(policy.end(end.key, end.at), end.at);
      continue;
    }
    const now = nextAt;
    const key = ++lastKey;
    arrivedAt.set(key, now);
    const call = {
      key,
      route: "a",
      urgency: 1,
      isNested: false,
      arrivedAt: now,
      objectiveAt: now + OBJECTIVE_MS,
      deadlineAt: now + DEADLINE_MS,
    };
    start(policy.offer(call, now), now);
    // Arrivals are independent of each other, so gaps are exponential.
    const share = uniformInt(random, 1, 1_000_000) / 1_000_000;
    nextAt = now - Math.log(share) * meanGapMs;
  }
  served.refused = policy.refused();
  return served;
}

const SHORT_RUNS_MS = [40, 120] as const;
const CAPACITY_CALLS = DURATION_MS / 80 * SLOTS;

test("at capacity most calls meet their objective", () => {
  const load = { utilization: 1, runMs: SHORT_RUNS_MS };
  const plain = simulate(fifoPolicy(), load);
  const queue = simulate(queuePolicy(), load);
  assert.ok(
    queue.withinObjective >= 0.85 * CAPACITY_CALLS,
    JSON.stringify(queue),
  );
  assert.ok(
    queue.withinObjective > plain.withinObjective,
    JSON.stringify({ queue, plain }),
  );
});

test("twice the load leaves most calls within their objective", () => {
  const atCapacity = simulate(queuePolicy(), {
    utilization: 1,
    runMs: SHORT_RUNS_MS,
  });
  const load = { utilization: 2, runMs: SHORT_RUNS_MS };
  const queue = simulate(queuePolicy(), load);
  const plain = simulate(fifoPolicy(), load);
  assert.ok(
    queue.withinObjective >= 0.9 * atCapacity.withinObjective,
    JSON.stringify(queue),
  );
  assert.ok(
    plain.withinObjective < 0.1 * CAPACITY_CALLS,
    JSON.stringify(plain),
  );
});

test("long runs do not make all calls miss the latency objective", () => {
  const load = { utilization: 1.2, runMs: [100, 260] as const };
  const queue = simulate(queuePolicy(), load);
  const plain = simulate(fifoPolicy(), load);
  assert.ok(
    queue.withinObjective > 5 * plain.withinObjective,
    JSON.stringify({ queue, plain }),
  );
});
