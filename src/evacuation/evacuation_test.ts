import { test } from "node:test";
import assert from "node:assert/strict";
import { decideEvacuation } from "./decide_evacuation.ts";
import { findRemovedKeys } from "./find_removed_keys.ts";
import { createEvacuationState } from "./state.ts";

test("evacuation begins and ends once", () => {
  const state = createEvacuationState();
  const record = (isActive: boolean) =>
    decideEvacuation(state, {
      type: "recorded",
      domain: "d1",
      isActive,
      isKnown: true,
    });
  assert.deepEqual(record(false), []);
  assert.deepEqual(record(true), [{ type: "began", domain: "d1" }]);
  assert.deepEqual(record(true), []);
  assert.deepEqual(record(false), [{ type: "ended", domain: "d1" }]);
  assert.equal(state.domains.size, 0);
});

test("unknown domain is reported once and not counted", () => {
  const state = createEvacuationState();
  const event = {
    type: "recorded",
    domain: "d9",
    isActive: true,
    isKnown: false,
  } as const;
  const [effect] = decideEvacuation(state, event);
  assert.equal(effect?.type, "unknown-domain");
  assert.deepEqual(decideEvacuation(state, event), []);
  assert.equal(state.domains.size - state.unknown.size, 0);
  assert.deepEqual(decideEvacuation(state, { ...event, isActive: false }), []);
  assert.equal(state.unknown.size, 0);
});

test("keys that a complete read lacks have been removed", () => {
  const value = Buffer.from("{}");
  const read = [{ key: "b", value }, { key: "c", value }];
  assert.deepEqual(findRemovedKeys(["a", "b"], read), ["a"]);
});
