import { test } from "node:test";
import assert from "node:assert/strict";
import { canFinish } from "./can_finish.ts";
import { createShutdownState } from "./create_shutdown_state.ts";
import { decideShutdown } from "./decide_shutdown.ts";
import { ShutdownPhase, type ShutdownState } from "./state.ts";

const graces = [1_000, 2_000, 3_000, 4_000, 6_000, 10_000, 30_000];

function stopOf(graceMs: number, lagMs = 0): ShutdownState {
  return createShutdownState({ graceMs, lagMs, now: 0 });
}

/** Looks every 50 ms, and returns when each phase began. */
function play(stop: ShutdownState, isBusy: (now: number) => boolean) {
  const began = new Map<ShutdownPhase, number>();
  const effects: string[] = [];
  for (let now = 0; stop.phase !== ShutdownPhase.Over; now += 50) {
    const event = { type: "ticked", isBusy: isBusy(now), now } as const;
    effects.push(...decideShutdown(stop, event).map((effect) => effect.type));
    if (!began.has(stop.phase)) began.set(stop.phase, now);
  }
  return { began, effects };
}

test("a late request is taken only if it can be finished", () => {
  for (const graceMs of graces) {
    const stop = stopOf(graceMs);
    for (let now = graceMs / 2; now < graceMs; now += 20) {
      for (const waitMs of [50, 200, 1_000, 1_200, 3_000, 5_000, 60_000]) {
        const isTaken = canFinish(stop, { now, waitMs, lagMs: 0 });
        assert.equal(isTaken, now + waitMs <= stop.times.endAt);
      }
    }
  }
});

test("an early request is taken, whatever time it has", () => {
  const options = { waitMs: 60_000, lagMs: 0 };
  assert.ok(canFinish(stopOf(6_000), { now: 2_150, ...options }));
  assert.ok(!canFinish(stopOf(6_000), { now: 2_250, ...options }));
  assert.ok(canFinish(stopOf(3_000), { now: 1_000, ...options }));
  assert.ok(!canFinish(stopOf(3_000), { now: 1_200, ...options }));
});

test("a stop counts from the signal, not from the turn that read it", () => {
  const { times } = stopOf(6_000, 400);
  assert.equal(times.endAt, 4_900);
  assert.equal(times.takeAllUntil, 1_800);
});

test("late timers are counted when a request is taken", () => {
  const stop = stopOf(6_000);
  const options = { now: 4_000, waitMs: 1_200 };
  assert.ok(canFinish(stop, { ...options, lagMs: 50 }));
  assert.ok(!canFinish(stop, { ...options, lagMs: 200 }));
});

test("a node ends once callers are gone and nothing is open", () => {
  const { began, effects } = play(stopOf(6_000), () => false);
  assert.deepEqual([...began], [
    [ShutdownPhase.Serving, 0],
    [ShutdownPhase.Withdrawn, 1_700],
    [ShutdownPhase.Finishing, 2_200],
    [ShutdownPhase.Over, 2_350],
  ]);
  assert.deepEqual(effects, ["withdraw", "refuse-rest"]);
});

test("a node that is busy to the end ends inside its grace", () => {
  for (const graceMs of graces) {
    const { began, effects } = play(stopOf(graceMs), () => true);
    assert.ok((began.get(ShutdownPhase.Over) ?? Infinity) < graceMs);
    assert.deepEqual(effects, ["withdraw", "refuse-rest"]);
  }
});

test("a node that ends takes nothing more", () => {
  const stop = stopOf(6_000);
  play(stop, () => false);
  assert.ok(!canFinish(stop, { now: 2_300, waitMs: 1, lagMs: 0 }));
});

test("the last answer has its time to leave, however late it comes", () => {
  const { began } = play(stopOf(6_000), (now) => now === 2_300);
  assert.equal(began.get(ShutdownPhase.Finishing), 2_200);
  assert.equal(began.get(ShutdownPhase.Over), 2_500);
});
