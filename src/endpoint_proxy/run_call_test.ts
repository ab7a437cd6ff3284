import { test } from "node:test";
import assert from "node:assert/strict";
import type { Dispatcher } from "undici";
import { offeredCall } from "../testing/offered_call.ts";
import { testDialect } from "../testing/test_dialect.ts";
import type { EndpointPool } from "./create_endpoint_pool.ts";
import { runCall, type RunEvent } from "./run_call.ts";

/** A pool whose connection is there at once. Tells whether a call was sent. */
function runAt(now: number) {
  const events: RunEvent[] = [];
  let isSent = true;
  const controller = { abort: () => isSent = false };
  const pool: EndpointPool = {
    dispatch(_, handler) {
      handler.onRequestStart?.(
        controller as unknown as Dispatcher.DispatchController,
        {},
      );
    },
    close: () => Promise.resolve(),
  };
  runCall({
    pool,
    dialect: testDialect,
    call: offeredCall(),
    instanceId: "i-1",
    deadlineAt: 100,
    now: () => now,
    isReset: () => false,
    onEvent: (event) => events.push(event),
  });
  return { events, isSent };
}

test("a call whose time passed while it connected is not sent", () => {
  assert.deepEqual(runAt(99), { events: [], isSent: true });
  assert.deepEqual(runAt(100), {
    events: [{ type: "expired" }],
    isSent: false,
  });
});
