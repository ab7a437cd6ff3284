import { test } from "node:test";
import assert from "node:assert/strict";
import fc from "fast-check";
import { checkProperty } from "../testing/check_property.ts";
import {
  type AppendEffect,
  createAppendState,
  decideAppend,
  MAX_WAITING_RECORDS,
  SETTLE_WITHIN_MS,
} from "./decide_append.ts";
import type { ConfigRecord, Envelope } from "./messages.ts";

const RECORD: ConfigRecord = {
  kind: "reinstate",
  editor: "eva",
  service: "portaal",
  version: "v1",
};

function submit(now: number, length = 100) {
  return { type: "submitted", record: RECORD, length, at: "", now } as const;
}

function sent(effects: readonly AppendEffect[]): Envelope[] {
  return effects.flatMap((one) => one.type === "append" ? one.envelopes : []);
}

function settled(effects: readonly AppendEffect[]) {
  return effects.flatMap((one) => one.type === "settle" ? [one.outcome] : []);
}

test("failed batch is sent again", () => {
  const state = createAppendState("w");
  assert.equal(sent(decideAppend(state, submit(0))).length, 1);
  decideAppend(state, { type: "failed", now: 10, random: 0 });
  const again = decideAppend(state, { type: "ticked", now: 5_000 });
  assert.deepEqual(sent(again).map((one) => one.seq), [1]);
});

test("appended record is not sent again", () => {
  const state = createAppendState("w");
  decideAppend(state, submit(0));
  decideAppend(state, { type: "replied", now: 1 });
  const later = decideAppend(state, { type: "ticked", now: 9_000 });
  assert.deepEqual(sent(later), []);
});

test("record submitted during an append is sent after the reply", () => {
  const state = createAppendState("w");
  decideAppend(state, submit(0));
  assert.deepEqual(sent(decideAppend(state, submit(1))), []);
  const next = decideAppend(state, { type: "replied", now: 2 });
  assert.deepEqual(sent(next).map((one) => one.seq), [2]);
});

test("batch is limited to MAX_BATCH_LENGTH characters", () => {
  const state = createAppendState("w");
  decideAppend(state, submit(0));
  for (let i = 0; i < 4; i++) decideAppend(state, submit(0, 400_000));
  const next = decideAppend(state, { type: "replied", now: 1 });
  assert.equal(sent(next).length, 2);
});

test("record beyond the limit is settled immediately", () => {
  const state = createAppendState("w");
  for (let i = 0; i < MAX_WAITING_RECORDS; i++) decideAppend(state, submit(0));
  assert.deepEqual(settled(decideAppend(state, submit(0))), [{
    type: "unsettled",
    code: "LAGOON_APPEND_OVERFLOW",
    mayTakeEffect: false,
  }]);
});

test("timed-out record states whether it was sent", () => {
  const state = createAppendState("w");
  decideAppend(state, submit(0));
  decideAppend(state, submit(0));
  const late = decideAppend(state, { type: "ticked", now: SETTLE_WITHIN_MS });
  const effects = settled(late).map((one) =>
    one.type === "unsettled" && one.mayTakeEffect
  );
  assert.deepEqual(effects, [true, false]);
  assert.deepEqual(state.pending, []);
});

test("loaded snapshot settles the records it skipped", () => {
  const state = createAppendState("w");
  decideAppend(state, submit(0));
  const effects = decideAppend(state, { type: "skipped", seq: 1, now: 5 });
  assert.equal(settled(effects)[0]?.type, "unsettled");
  assert.deepEqual(decideAppend(state, { type: "ticked", now: 9_000 }), []);
});

test("close settles all records", () => {
  const state = createAppendState("w");
  decideAppend(state, submit(0));
  decideAppend(state, submit(0));
  assert.equal(settled(decideAppend(state, { type: "closed" })).length, 2);
});

/** Whether an append request and its reply arrive, and whether a fold runs. */
const arbitrarySend = fc.record({
  isReceived: fc.boolean(),
  isReplyReceived: fc.boolean(),
  /** The fold reaches the end of the log only in some steps. */
  isFoldRun: fc.boolean(),
});

test("every record settles, with one effect at most", () => {
  checkProperty(
    fc.property(fc.array(arbitrarySend, { maxLength: 60 }), (sends) => {
      const state = createAppendState("w");
      const log: number[] = [];
      const appliedCounts = new Map<number, number>();
      const outcomes = new Map<number, string>();
      const verdicts = new Set<number>();
      let folded = 0;
      let highestSeq = 0;
      let request: Envelope[] = [];
      const handle = (newEffects: readonly AppendEffect[]) => {
        for (const one of newEffects) {
          if (one.type === "append") {
            request = [...one.envelopes];
            continue;
          }
          assert.equal(outcomes.has(one.seq), false);
          outcomes.set(one.seq, one.outcome.type);
          if (one.outcome.type !== "unsettled") continue;
          if (one.outcome.mayTakeEffect) verdicts.add(one.seq);
          else assert.equal(log.includes(one.seq), false);
        }
      };
      sends.forEach((one, index) => {
        const now = index * 700;
        handle(decideAppend(state, submit(now)));
        if (one.isReceived) log.push(...request.map((env) => env.seq));
        const isAnswered = one.isReceived && one.isReplyReceived;
        if (request.length > 0) {
          request = [];
          handle(decideAppend(
            state,
            isAnswered
              ? { type: "replied", now }
              : { type: "failed", now, random: 0.5 },
          ));
        }
        for (; one.isFoldRun && folded < log.length; folded++) {
          const seq = log[folded] ?? 0;
          if (seq <= highestSeq) continue;
          highestSeq = seq;
          appliedCounts.set(seq, (appliedCounts.get(seq) ?? 0) + 1);
          const verdict = { type: "accepted", offset: folded + 1 } as const;
          handle(decideAppend(state, { type: "folded", seq, verdict, now }));
        }
        handle(decideAppend(state, { type: "ticked", now }));
      });
      handle(decideAppend(state, { type: "closed" }));
      assert.equal(outcomes.size, sends.length);
      for (const count of appliedCounts.values()) assert.equal(count, 1);
      for (const [seq, type] of outcomes) {
        if (type === "accepted") assert.ok(appliedCounts.has(seq));
        else if (appliedCounts.has(seq)) assert.ok(verdicts.has(seq));
      }
    }),
    { runs: 500 },
  );
});
