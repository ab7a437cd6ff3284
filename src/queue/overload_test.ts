import { test } from "node:test";
import assert from "node:assert/strict";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { decideQueue } from "./decide_queue.ts";
import { createQueueState, type QueuedCall } from "./state.ts";

const slots = 6;
const objectiveMs = 200;
const deadlineMs = 800;
const lengthMs = 20_000;
const seed = 20_261_204;

interface Served {
  inAim: number;
  late: number;
  refused: number;
}

interface Load {
  /** Demand over capacity. */
  readonly rho: number;
  /** Shortest and longest run, in milliseconds. */
  readonly runMs: readonly [number, number];
}

/** Starts and ends of calls at one endpoint, by whichever policy. */
interface Policy {
  offer(call: QueuedCall, now: number): readonly number[];
  end(key: number, now: number): readonly number[];
  refused(): number;
}

/** The project's queue. */
function queuePolicy(): Policy {
  const state = createQueueState();
  const gate = { type: "open", slots } as const;
  decideQueue(state, { type: "gated", gate, coldUntil: -Infinity, now: 0 });
  let refused = 0;
  const startsOf = (effects: ReturnType<typeof decideQueue>) =>
    effects.flatMap((effect) => {
      if (effect.type === "refuse") refused++;
      return effect.type === "start" ? [effect.key] : [];
    });
  return {
    offer: (call, now) =>
      startsOf(decideQueue(state, {
        type: "offered",
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

/** First in, first out, with no refusal. */
function plainPolicy(): Policy {
  const waiting: number[] = [];
  let running = 0;
  const pump = () => {
    const started: number[] = [];
    while (running < slots && waiting.length > 0) {
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

function play(policy: Policy, load: Load): Served {
  const random = xoroshiro128plus(seed);
  const [least, most] = load.runMs;
  const meanGapMs = (least + most) / 2 / slots / load.rho;
  const served: Served = { inAim: 0, late: 0, refused: 0 };
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
  while (nextAt < lengthMs || ends.length > 0) {
    const end = ends[0];
    if (end !== undefined && (end.at <= nextAt || nextAt >= lengthMs)) {
      ends.shift();
      const tookMs = end.at - (arrivedAt.get(end.key) ?? 0);
      if (tookMs <= objectiveMs) served.inAim++;
      else if (tookMs <= deadlineMs) served.late++;
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
      offeredAt: now,
      objectiveAt: now + objectiveMs,
      deadlineAt: now + deadlineMs,
    };
    start(policy.offer(call, now), now);
    // Exponential gaps: arrivals are independent of each other.
    const share = uniformInt(random, 1, 1_000_000) / 1_000_000;
    nextAt = now - Math.log(share) * meanGapMs;
  }
  served.refused = policy.refused();
  return served;
}

const shortRuns = [40, 120] as const;
const capacity = lengthMs / 80 * slots;

test("at capacity most calls meet their aim", () => {
  const load = { rho: 1, runMs: shortRuns };
  const plain = play(plainPolicy(), load);
  const queue = play(queuePolicy(), load);
  assert.ok(queue.inAim >= 0.85 * capacity, JSON.stringify(queue));
  assert.ok(queue.inAim > plain.inAim, JSON.stringify({ queue, plain }));
});

test("at twice the capacity as many meet it as at capacity", () => {
  const atCapacity = play(queuePolicy(), { rho: 1, runMs: shortRuns });
  const load = { rho: 2, runMs: shortRuns };
  const queue = play(queuePolicy(), load);
  const plain = play(plainPolicy(), load);
  assert.ok(queue.inAim >= 0.9 * atCapacity.inAim, JSON.stringify(queue));
  assert.ok(plain.inAim < 0.1 * capacity, JSON.stringify(plain));
});

test("runs as long as the aim do not make all calls wait", () => {
  const load = { rho: 1.2, runMs: [100, 260] as const };
  const queue = play(queuePolicy(), load);
  const plain = play(plainPolicy(), load);
  assert.ok(queue.inAim > 5 * plain.inAim, JSON.stringify({ queue, plain }));
});
