import { test } from "node:test";
import assert from "node:assert/strict";
import { isInnerCall } from "./is_inner_call.ts";

const runsHere = (callId: string) => callId === "parent";

function headOf(parentId: string | undefined) {
  return { id: "call", parentId, waitMs: 100 };
}

test("only a call whose parent runs here is an inner one", () => {
  assert.equal(isInnerCall(headOf("parent"), runsHere), true);
  assert.equal(isInnerCall(headOf(undefined), runsHere), false);
  assert.equal(isInnerCall(headOf("elsewhere"), runsHere), false);
});
