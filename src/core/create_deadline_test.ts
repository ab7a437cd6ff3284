import { test } from "node:test";
import assert from "node:assert/strict";
import { setTimeout as sleep } from "node:timers/promises";
import { collectGarbage } from "../testing/collect_garbage.ts";
import { createDeadline } from "./create_deadline.ts";

const STEP = "wait";

test(
  "deadline passes after a garbage collection",
  { timeout: 5_000 },
  async () => {
    const passed = new Promise((resolve) => {
      const { signal } = createDeadline({
        limitMs: 50,
        step: STEP,
        signals: [],
      });
      signal.addEventListener("abort", resolve);
    });
    collectGarbage();
    await sleep(20);
    collectGarbage();
    await passed;
  },
);

test("deadline aborts with any of its signals, for the same reason", () => {
  const caller = new AbortController();
  const deadline = createDeadline({
    limitMs: 60_000,
    step: STEP,
    signals: [new AbortController().signal, caller.signal],
  });
  caller.abort("closed");
  assert.equal(deadline.signal.reason, "closed");
  deadline.close();
});

test("deadline of an aborted signal is aborted", () => {
  const signals = [AbortSignal.abort("closed")];
  const deadline = createDeadline({ limitMs: 60_000, step: STEP, signals });
  assert.equal(deadline.signal.aborted, true);
  deadline.close();
});

test("closed deadline ignores its signals", () => {
  const caller = new AbortController();
  const deadline = createDeadline({
    limitMs: 60_000,
    step: STEP,
    signals: [caller.signal],
  });
  deadline.close();
  caller.abort();
  assert.equal(deadline.signal.aborted, false);
});
