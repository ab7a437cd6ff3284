import { test } from "node:test";
import assert from "node:assert/strict";
import type { Dispatcher } from "undici";
import { offeredCall } from "../testing/offered_call.ts";
import { testDialect } from "../testing/test_dialect.ts";
import type { EndpointPool } from "./create_endpoint_pool.ts";
import { runCall, type RunEvent } from "./run_call.ts";

/**
 * Runs a call at a pool whose connection opens immediately. Returns the events
 * and whether the call was sent.
 */
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

test("a call whose deadline passed while connecting is not sent", () => {
  assert.deepEqual(runAt(99), { events: [], isSent: true });
  assert.deepEqual(runAt(100), {
    events: [{ type: "expired" }],
    isSent: false,
  });
});
