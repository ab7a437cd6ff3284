import { test } from "node:test";
import assert from "node:assert/strict";
import { setTimeout as sleep } from "node:timers/promises";
import { err, errAsync, okAsync, ResultAsync } from "neverthrow";
import { collectGarbage } from "../testing/collect_garbage.ts";
import { followTopic } from "./follow_topic.ts";
import type { KeyedStore, StoreError } from "./state.ts";

const lost: StoreError = {
  code: "LAGOON_STORE_FAILED",
  step: "read",
  peer: "store",
  message: "down",
  hint: "",
  fault: { type: "unavailable", mayBeDone: true },
};

test("first read after a failure does not wait for records", async (t) => {
  const waits: number[] = [];
  let next = -1;
  const regained = new Promise<void>((resolve) => {
    const store: KeyedStore = {
      append: () => errAsync(lost),
      newest: () => okAsync({ records: [], next: 0 }),
      read({ waitMs }) {
        waits.push(waitMs);
        return waits.length === 1
          ? errAsync(lost)
          : okAsync({ records: [], next: 0 });
      },
      close: () => Promise.resolve(),
    };
    let changes = 0;
    const follower = followTopic({
      store,
      topic: "keyed.test",
      from: () => next,
      onRecords: (_records, end) => next = end,
      // Healthy, failed, healthy again. The first read uses `newest`.
      onHealth: () => ++changes === 3 && resolve(),
      now: () => 0,
      random: () => 0,
    });
    t.after(() => follower.close());
    follower.read();
  });
  await regained;
  assert.ok((waits[0] ?? 0) > 0);
  assert.equal(waits[1], 0);
});

test(
  "hanging read times out even if garbage is collected meanwhile",
  { timeout: 8_000 },
  async (t) => {
    let isLost = false;
    const hang = (signal: AbortSignal) =>
      new ResultAsync<never, StoreError>(
        new Promise((resolve) =>
          signal.addEventListener("abort", () => resolve(err(lost)))
        ),
      );
    const store: KeyedStore = {
      append: () => errAsync(lost),
      newest: () => okAsync({ records: [], next: 0 }),
      read: ({ signal }) => hang(signal),
      close: () => Promise.resolve(),
    };
    let end = -1;
    const follower = followTopic({
      store,
      topic: "keyed.test",
      from: () => end,
      onRecords: (_records, next) => end = next,
      onHealth: (problem) => isLost ||= problem !== undefined,
      now: () => 0,
      random: () => 0,
    });
    t.after(() => follower.close());
    follower.read();
    while (!isLost && !t.signal.aborted) {
      collectGarbage();
      await sleep(20);
    }
  },
);

test("stopped follower does not read, and later continues from the given offset", async (t) => {
  const offsets: number[] = [];
  let wake = () => {};
  let end = -1;
  const store: KeyedStore = {
    append: () => errAsync(lost),
    newest: () => okAsync({ records: [], next: 3 }),
    read({ from }) {
      offsets.push(from);
      wake();
      return okAsync({ records: [], next: from });
    },
    close: () => Promise.resolve(),
  };
  const follower = followTopic({
    store,
    topic: "keyed.test",
    from: () => end,
    onRecords(_records, next) {
      end = next;
      follower.stop();
      wake();
    },
    onHealth: () => {},
    now: () => 0,
    random: () => 0,
  });
  t.after(() => follower.close());
  await new Promise<void>((resolve) => {
    wake = resolve;
    follower.read();
  });
  assert.deepEqual(offsets, []);
  end = 7;
  await new Promise<void>((resolve) => {
    wake = () => {
      follower.stop();
      resolve();
    };
    follower.read();
  });
  assert.deepEqual(offsets, [7]);
});
