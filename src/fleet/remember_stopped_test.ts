import { test } from "node:test";
import assert from "node:assert/strict";
import { MAX_PING_DELAY_MS } from "../local_endpoint/judge_presence.ts";
import type { NodeRow } from "./messages.ts";
import { recallStopped, rememberStopped } from "./remember_stopped.ts";
import { createFleetState } from "./state.ts";

const NODE = "b";

function createMemory() {
  const life = { life: "own", startedAt: 0 };
  const state = createFleetState({ self: "a", domain: "d1", ...life });
  return {
    learn(life: string, now: number, ids: readonly string[] = []) {
      const gone = ids.map((id) => ({ id, bornAt: 7 }));
      const row: NodeRow = {
        node: NODE,
        domain: "d1",
        life,
        startedAt: 0,
        revision: 1,
        gone,
      };
      rememberStopped(state, row, now);
    },
    recall: (now: number) => recallStopped(state, NODE, now),
  };
}

test("node that was known long enough is told that nothing has stopped", () => {
  const memory = createMemory();
  memory.learn("first", 0);
  memory.learn("second", MAX_PING_DELAY_MS);
  const nothing = { gone: [], isComplete: true };
  assert.deepEqual(memory.recall(MAX_PING_DELAY_MS), nothing);
});

// A process does not know at its start what earlier ones confirmed.
test("nodes that restart together don't prove anything to each other", () => {
  const memory = createMemory();
  assert.equal(memory.recall(0), undefined);
  memory.learn("first", 0);
  memory.learn("second", MAX_PING_DELAY_MS - 1);
  assert.equal(memory.recall(MAX_PING_DELAY_MS + 1), undefined);
  memory.learn("second", MAX_PING_DELAY_MS + 2, ["i-1"]);
  const recalled = memory.recall(MAX_PING_DELAY_MS + 2);
  assert.equal(recalled?.isComplete, false);
  assert.equal(recalled?.gone.length, 1);
});

test("what a new process announces does not replace what is known", () => {
  const memory = createMemory();
  memory.learn("first", 0, ["i-1"]);
  memory.learn("second", 1, ["i-2"]);
  memory.learn("second", 2, ["i-1"]);
  const ids = memory.recall(3)?.gone.map(({ id }) => id);
  assert.deepEqual(ids, ["i-2", "i-1"]);
});

test("number of remembered instances is limited, the newest are kept", () => {
  const memory = createMemory();
  for (let id = 0; id < 100; id++) memory.learn("first", id, [`i-${id}`]);
  const ids = memory.recall(100)?.gone.map(({ id }) => id) ?? [];
  assert.equal(ids.length, 8);
  assert.equal(ids.at(-1), "i-99");
});
