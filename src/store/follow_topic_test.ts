import { test } from "node:test";
import assert from "node:assert/strict";
import { errAsync, okAsync } from "neverthrow";
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

test("a store that is back is not waited on for a long read", async (t) => {
  const waits: number[] = [];
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
      onRecords: () => {},
      // Found, lost, found again.
      onHealth: () => ++changes === 3 && resolve(),
      random: () => 0,
    });
    t.after(() => follower.close());
  });
  await regained;
  assert.ok((waits[0] ?? 0) > 0);
  assert.equal(waits[1], 0);
});
