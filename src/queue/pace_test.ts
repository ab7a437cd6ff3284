import { test } from "node:test";
import assert from "node:assert/strict";
import { decideQueue, reportQueue } from "./decide_queue.ts";
import {
  createPace,
  decayPace,
  pacePercentAt,
  recordPace,
  usualTimeAt,
} from "./pace.ts";
import { createQueueState, type QueuedCall, type QueueState } from "./state.ts";

/** Records that runs on the VM take `factor` times as long at `now`. */
function state(queue: QueueState, factor: number, now: number) {
  decideQueue(queue, { type: "paced", factor, now });
}

function openQueue(): QueueState {
  const queue = createQueueState();
  const gate = { type: "open", slots: 1 } as const;
  const coldUntil = -Infinity;
  decideQueue(queue, { type: "gate-changed", gate, coldUntil, now: 0 });
  return queue;
}

function callOf(key: number, arrivedAt: number): QueuedCall {
  return {
    key,
    route: "a",
    urgency: 1,
    isNested: false,
    arrivedAt,
    objectiveAt: arrivedAt + 400,
    deadlineAt: arrivedAt + 1_600,
  };
}

function offer(queue: QueueState, key: number, now: number, mayBeLate = true) {
  const call = callOf(key, now);
  return decideQueue(queue, { type: "arrived", call, mayBeLate, now });
}

function end(queue: QueueState, key: number, now: number) {
  decideQueue(queue, { type: "ended", key, isAnswered: true, now });
}

test("old pace decays to the usual one", () => {
  const pace = createPace();
  recordPace(pace, 2.5, 1_000);
  assert.equal(pacePercentAt(pace, 1_000), 250);
  const later = pacePercentAt(pace, 1_300) ?? 0;
  assert.ok(later > 130 && later < 200, String(later));
  assert.equal(pacePercentAt(pace, 3_000), undefined);
});

test("decay at the receiver continues the sender's", () => {
  const atSender = decayPace(2.5, 100);
  const atReceiver = decayPace(atSender, 150);
  assert.ok(Math.abs(atReceiver - decayPace(2.5, 250)) < 1e-9);
});

test("slow run does not raise the usual run time", () => {
  const queue = openQueue();
  state(queue, 2.5, 0);
  offer(queue, 1, 0);
  for (const at of [50, 100, 150, 200, 250]) state(queue, 2.5, at);
  end(queue, 1, 250);
  const { routeMs } = reportQueue(queue, "a");
  // The pace decays between answers, and counts a little towards the usual.
  assert.ok(routeMs > 98 && routeMs < 125, String(routeMs));
});

test("VM that is always slow has its run times as they are", () => {
  const queue = openQueue();
  for (let n = 0; n < 200; n++) {
    const at = 10_000 + n * 250;
    offer(queue, n, at);
    end(queue, n, at + 250);
    state(queue, 2.5, at + 250);
  }
  const { routeMs } = reportQueue(queue, "a");
  assert.ok(routeMs > 235 && routeMs < 260, String(routeMs));
  assert.equal(pacePercentAt(queue.pace, 60_000), undefined);
});

test("run during a change of pace is divided by both paces", () => {
  const pace = createPace();
  const from = usualTimeAt(pace, 900);
  recordPace(pace, 2, 1_000);
  recordPace(pace, 1, 1_020);
  const tookMs = usualTimeAt(pace, 1_100) - from;
  // 100 ms and 80 ms at the usual pace, 20 ms at half of it.
  assert.ok(tookMs > 189.9 && tookMs < 191, String(tookMs));
});

test("slow VM refuses calls as late that it would take at its usual pace", () => {
  const queue = openQueue();
  for (let n = 0; n < 10; n++) {
    offer(queue, n, n * 100);
    end(queue, n, n * 100 + 100);
  }
  offer(queue, 20, 1_000);
  assert.deepEqual(offer(queue, 21, 1_000, false), []);
  state(queue, 2.5, 1_000);
  const [effect] = offer(queue, 22, 1_000, false);
  assert.equal(effect?.type === "refuse" && effect.reason, "late");
});

test("slow VM does not make its runs overdue", () => {
  const queue = openQueue();
  for (let n = 0; n < 10; n++) {
    offer(queue, n, n * 100);
    end(queue, n, n * 100 + 100);
  }
  state(queue, 2.5, 1_000);
  offer(queue, 20, 1_000);
  for (let at = 1_040; at <= 1_400; at += 40) state(queue, 2.5, at);
  assert.deepEqual(decideQueue(queue, { type: "ticked", now: 1_400 }), []);
  const [effect] = decideQueue(queue, { type: "ticked", now: 1_900 });
  assert.equal(effect?.type, "overdue");
});
