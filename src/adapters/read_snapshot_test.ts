import { test } from "node:test";
import assert from "node:assert/strict";
import { err, ok } from "neverthrow";
import { createConfigState } from "../config_log/create_config_state.ts";
import { encodeSnapshot } from "../config_log/encode_snapshot.ts";
import { splitSnapshot } from "../config_log/split_snapshot.ts";
import type { LogClient } from "./log_client.ts";
import { readSnapshot } from "./read_snapshot.ts";

const PAGE_RECORDS = 40;

/** A log of 600 records with snapshots that loses records with each read. */
function startLog(throughs: readonly number[], lostPerRead: number) {
  const bodies = Array.from({ length: 600 }, () => "{}");
  for (const through of throughs) {
    const state = createConfigState();
    state.next = through + 1;
    const [record] = splitSnapshot(encodeSnapshot(state));
    const envelope = { writer: "w", seq: 1, at: "", record };
    bodies[through + 1] = JSON.stringify(envelope);
  }
  let oldest = 1;
  const head = bodies.length + 1;
  const log = {
    bounds: () => Promise.resolve(ok({ oldest, head })),
    read: ({ from }: { from: number }) => {
      const error = { code: "LAGOON_LOG_OFFSET_GONE", step: "", message: "" };
      if (from < oldest) return Promise.resolve(err(error));
      const records = bodies.slice(from - 1, from - 1 + PAGE_RECORDS)
        .map((body, at) => ({ offset: from + at, body }));
      const page = { records, oldest, head };
      oldest = Math.min(head, oldest + lostPerRead);
      return Promise.resolve(ok(page));
    },
  } as unknown as LogClient;
  return { log, oldest: () => oldest };
}

test("newest snapshot is found from the end of the log", async () => {
  const { log } = startLog([100, 450], 0);
  const found = await readSnapshot({ log, onSkipped: assert.ifError });
  assert.equal(found._unsafeUnwrap().through, 450);
});

test("snapshot is found in older pages", async () => {
  const { log } = startLog([20], 0);
  const found = await readSnapshot({ log, onSkipped: assert.ifError });
  assert.equal(found._unsafeUnwrap().through, 20);
});

test("snapshot search copes with records that retention removes", async () => {
  for (let lost = 0; lost < 60; lost += 3) {
    const { log, oldest } = startLog([20, 300], lost);
    const found = await readSnapshot({ log, onSkipped: assert.ifError });
    // The log removes `lost` records with each read, so the records that were
    // read last may have been removed by now.
    if (found.isOk()) assert.ok(found.value.through + 1 >= oldest() - lost);
    else assert.equal(found.error.code, "LAGOON_SNAPSHOT_NONE");
  }
});

test("log without a snapshot is reported", async () => {
  const { log } = startLog([], 0);
  const found = await readSnapshot({ log, onSkipped: assert.ifError });
  assert.equal(found._unsafeUnwrapErr().code, "LAGOON_SNAPSHOT_NONE");
});
