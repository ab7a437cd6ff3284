import { test } from "node:test";
import assert from "node:assert/strict";
import {
  leader,
  order,
  present,
  tellOthers,
  tickOf,
} from "../testing/play_moves.ts";
import { chooseVersions } from "./choose_version.ts";
import { countRun } from "./count_run.ts";
import { decideTakeover } from "./decide_takeover.ts";
import { createTakeoverState, MovePhase, type TakeoverState } from "./state.ts";

test("the next node records the end while the leader is stuck", () => {
  const [first, second] = ["a", "b"].map((self) => {
    const state = createTakeoverState({ self, source: `${self} 1` });
    decideTakeover(state, { type: "ordered", order, isNew: true, now: 0 });
    return state;
  });
  assert.ok(first && second);
  decideTakeover(first, { type: "leased", epoch: 1 });
  const tick = (state: TakeoverState, rank: number, now: number) =>
    decideTakeover(state, tickOf(now, rank));
  let endedAt: number | undefined;
  for (let now = 0; now <= order.durationMs; now += 100) {
    for (const state of [first, second]) {
      const [version] = chooseVersions(state, "one", present);
      assert.ok(version);
      for (let n = 0; n < 10; n++) {
        countRun(state, {
          service: "one",
          version,
          route: "a",
          isFailed: false,
          isExcused: false,
          tookMs: 60,
        });
      }
    }
    // The first node freezes three seconds before the deadline.
    const isStuck = now >= order.durationMs - 3_000;
    for (const [rank, state] of [first, second].entries()) {
      if (rank === 0 && isStuck) continue;
      for (const effect of tick(state, rank, now)) {
        if (effect.type === "lease") {
          decideTakeover(state, { type: "leased", epoch: 2 });
        } else if (effect.type === "record") {
          const { phase } = effect.status;
          if (phase === MovePhase.Completed) endedAt ??= now;
          const told = decideTakeover(state, {
            type: "recorded",
            status: effect.status,
            tookMs: 10,
            now,
          });
          for (const one of told) tellOthers([first, second], state, one, now);
        } else tellOthers([first, second], state, effect, now);
      }
    }
  }
  assert.ok(endedAt !== undefined && endedAt < order.durationMs, `${endedAt}`);
});

test("a leader that hears of a newer lease leads nothing for a while", () => {
  const state = leader();
  const tick = (now: number) => decideTakeover(state, tickOf(now, 0));
  const [record] = tick(0);
  assert.equal(record?.type, "tell");
  const move = state.moves.get("one");
  assert.ok(move);
  const step = {
    ...move.step,
    epoch: 2,
    seq: 1,
    elapsed: { ms: 100, isKnown: true },
  };
  decideTakeover(state, { type: "step-heard", step, now: 100 });
  assert.equal(state.epoch, undefined);
  move.fault = undefined;
  assert.deepEqual(tick(200), []);
});
