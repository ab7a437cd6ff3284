import { test } from "node:test";
import assert from "node:assert/strict";
import { concludeCall, mayHaveRun } from "./conclude_call.ts";
import type { CallEnd } from "./messages.ts";

const REFUSED: CallEnd = {
  type: "not-run",
  code: "LAGOON_CALL_OVERLOADED",
  reason: "full",
  status: 503,
};

test("a refusal after an attempt that may have run makes the result unknown", () => {
  assert.ok(mayHaveRun({ type: "given-up" }));
  assert.ok(!mayHaveRun(REFUSED));
  assert.equal(concludeCall(REFUSED, true).type, "unknown");
  assert.equal(concludeCall(REFUSED, false), REFUSED);
});
