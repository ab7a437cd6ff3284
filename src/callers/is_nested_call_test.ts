import { test } from "node:test";
import assert from "node:assert/strict";
import { isNestedCall } from "./is_nested_call.ts";

const runsHere = (callId: string) => callId === "parent";

function headOf(parentId: string | undefined) {
  return { id: "call", parentId, waitMs: 100 };
}

test("only a call whose parent runs here is an inner one", () => {
  assert.equal(isNestedCall(headOf("parent"), runsHere), true);
  assert.equal(isNestedCall(headOf(undefined), runsHere), false);
  assert.equal(isNestedCall(headOf("elsewhere"), runsHere), false);
});
