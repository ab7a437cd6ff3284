import { test } from "node:test";
import assert from "node:assert/strict";
import { createConfigState } from "./create_config_state.ts";
import { decodeSnapshot } from "./decode_snapshot.ts";
import { encodeSnapshot } from "./encode_snapshot.ts";
import { endRollout, MAX_ENDED_ROLLOUTS } from "./rollout_rows.ts";
import { type ConfigState, type Rollout, RolloutPhase } from "./state.ts";

function end(state: ConfigState, number: number) {
  const rollout: Rollout = {
    id: `portaal@v${number}#1`,
    service: "portaal",
    version: `v${number}`,
    entries: [],
    from: ["v0"],
    whenUnjudged: "proceed",
    phase: RolloutPhase.Baking,
    perMille: 1000,
    begunAt: "",
    steps: [],
  };
  const phase = RolloutPhase.Done;
  const step = { offset: 1, at: "", phase, perMille: 1000, reason: "" };
  endRollout(state, rollout, step);
}

test("oldest ended rollout is evicted first, also after a snapshot", () => {
  const state = createConfigState();
  for (let index = 0; index < MAX_ENDED_ROLLOUTS; index++) end(state, index);
  const copy = decodeSnapshot(encodeSnapshot(state))._unsafeUnwrap();
  for (const one of [state, copy]) end(one, MAX_ENDED_ROLLOUTS);
  assert.equal(copy.rollouts.has("portaal@v0#1"), false);
  assert.equal(copy.rollouts.size, MAX_ENDED_ROLLOUTS);
  assert.deepEqual([...copy.rollouts.keys()], [...state.rollouts.keys()]);
});
