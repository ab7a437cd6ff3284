import { test } from "node:test";
import assert from "node:assert/strict";
import { setTimeout as sleep } from "node:timers/promises";
import { collectGarbage } from "../testing/collect_garbage.ts";
import { createDeadline } from "./create_deadline.ts";

const step = "wait";

test(
  "a deadline passes though garbage is collected",
  { timeout: 5_000 },
  async () => {
    const passed = new Promise((resolve) => {
      const { signal } = createDeadline({ limitMs: 50, step, signals: [] });
      signal.addEventListener("abort", resolve);
    });
    collectGarbage();
    await sleep(20);
    collectGarbage();
    await passed;
  },
);

test("a deadline ends with any of its signals, and says why", () => {
  const caller = new AbortController();
  const deadline = createDeadline({
    limitMs: 60_000,
    step,
    signals: [new AbortController().signal, caller.signal],
  });
  caller.abort("closed");
  assert.equal(deadline.signal.reason, "closed");
  deadline.close();
});

test("a deadline of a signal that has ended has ended", () => {
  const signals = [AbortSignal.abort("closed")];
  const deadline = createDeadline({ limitMs: 60_000, step, signals });
  assert.equal(deadline.signal.aborted, true);
  deadline.close();
});

test("a closed deadline leaves its signals alone", () => {
  const caller = new AbortController();
  const deadline = createDeadline({
    limitMs: 60_000,
    step,
    signals: [caller.signal],
  });
  deadline.close();
  caller.abort();
  assert.equal(deadline.signal.aborted, false);
});
