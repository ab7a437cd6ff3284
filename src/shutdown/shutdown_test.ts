import { test } from "node:test";
import assert from "node:assert/strict";
import { canFinish } from "./can_finish.ts";
import { createShutdownState } from "./create_shutdown_state.ts";
import { decideShutdown } from "./decide_shutdown.ts";
import { ShutdownPhase, type ShutdownState } from "./state.ts";

const GRACE_TIMES_MS = [1_000, 2_000, 3_000, 4_000, 6_000, 10_000, 30_000];

function createState(graceMs: number, lagMs = 0): ShutdownState {
  return createShutdownState({ graceMs, lagMs, now: 0 });
}

/** Ticks every 50 ms. Returns when each phase began, and all effects. */
function simulate(state: ShutdownState, isBusy: (now: number) => boolean) {
  const began = new Map<ShutdownPhase, number>();
  const effects: string[] = [];
  for (let now = 0; state.phase !== ShutdownPhase.Over; now += 50) {
    const event = { type: "ticked", isBusy: isBusy(now), now } as const;
    effects.push(...decideShutdown(state, event).map((effect) => effect.type));
    if (!began.has(state.phase)) began.set(state.phase, now);
  }
  return { began, effects };
}

test("a late request is accepted only if it can be finished", () => {
  for (const graceMs of GRACE_TIMES_MS) {
    const state = createState(graceMs);
    for (let now = graceMs / 2; now < graceMs; now += 20) {
      for (const waitMs of [50, 200, 1_000, 1_200, 3_000, 5_000, 60_000]) {
        const isAccepted = canFinish(state, { now, waitMs, lagMs: 0 });
        assert.equal(isAccepted, now + waitMs <= state.times.endAt);
      }
    }
  }
});

test("an early request is accepted, whatever its timeout", () => {
  const options = { waitMs: 60_000, lagMs: 0 };
  assert.ok(canFinish(createState(6_000), { now: 2_150, ...options }));
  assert.ok(!canFinish(createState(6_000), { now: 2_250, ...options }));
  assert.ok(canFinish(createState(3_000), { now: 1_000, ...options }));
  assert.ok(!canFinish(createState(3_000), { now: 1_200, ...options }));
});

test("times count from the signal, not from its handling", () => {
  const { times } = createState(6_000, 400);
  assert.equal(times.endAt, 4_900);
  assert.equal(times.acceptAllUntil, 1_800);
});

test("answers of other nodes are due before the node ends", () => {
  for (const graceMs of GRACE_TIMES_MS) {
    const { answerBy, acceptAllUntil, endAt } = createState(graceMs).times;
    assert.ok(acceptAllUntil < answerBy && answerBy < endAt);
  }
});

test("event loop delay counts when a request is accepted", () => {
  const state = createState(6_000);
  const options = { now: 4_000, waitMs: 1_200 };
  assert.ok(canFinish(state, { ...options, lagMs: 50 }));
  assert.ok(!canFinish(state, { ...options, lagMs: 200 }));
});

test("a node ends once callers have left and no call is open", () => {
  const { began, effects } = simulate(createState(6_000), () => false);
  assert.deepEqual([...began], [
    [ShutdownPhase.Serving, 0],
    [ShutdownPhase.Withdrawn, 1_700],
    [ShutdownPhase.Finishing, 2_200],
    [ShutdownPhase.Over, 2_350],
  ]);
  assert.deepEqual(effects, ["withdraw", "refuse-remaining"]);
});

test("a node that stays busy ends within its grace period", () => {
  for (const graceMs of GRACE_TIMES_MS) {
    const { began, effects } = simulate(createState(graceMs), () => true);
    assert.ok((began.get(ShutdownPhase.Over) ?? Infinity) < graceMs);
    assert.deepEqual(effects, ["withdraw", "refuse-remaining"]);
  }
});

test("a node in its last phase accepts nothing", () => {
  const state = createState(6_000);
  simulate(state, () => false);
  assert.ok(!canFinish(state, { now: 2_300, waitMs: 1, lagMs: 0 }));
});

test("shutdown still leaves time to send an answer that completes late", () => {
  const { began } = simulate(createState(6_000), (now) => now === 2_300);
  assert.equal(began.get(ShutdownPhase.Finishing), 2_200);
  assert.equal(began.get(ShutdownPhase.Over), 2_500);
});
