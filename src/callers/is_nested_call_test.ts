import { test } from "node:test";
import assert from "node:assert/strict";
import { isNestedCall } from "./is_nested_call.ts";

const isRunningHere = (callId: string) => callId === "parent";

function headOf(parentId: string | undefined) {
  return { id: "call", parentId, waitMs: 100, key: { type: "none" } } as const;
}

test("a call is nested only if its parent runs here", () => {
  assert.equal(isNestedCall(headOf("parent"), isRunningHere), true);
  assert.equal(isNestedCall(headOf(undefined), isRunningHere), false);
  assert.equal(isNestedCall(headOf("elsewhere"), isRunningHere), false);
});
