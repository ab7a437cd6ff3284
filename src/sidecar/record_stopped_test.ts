import { test, type TestContext } from "node:test";
import assert from "node:assert/strict";
import { err, ok, ResultAsync } from "neverthrow";
import { waitFor } from "../../tools/wait_for.ts";
import { decodeStopped } from "../local_endpoint/messages.ts";
import type { AppendOptions, StoreError } from "../store/state.ts";
import { createStoppedRecorder } from "./record_stopped.ts";

const STOPPED = [{ id: "i-1", bornAt: 1_000 }];

const UNAVAILABLE: StoreError = {
  code: "LAGOON_STORE_FAILED",
  step: "append",
  peer: "store",
  message: "refused",
  fault: { type: "unavailable", mayBeDone: false },
};

/** A recorder whose store answers each append when the test says so. */
function startRecorder(
  t: TestContext,
  { hasPeers = true, isAdopted = true } = {},
) {
  const appends: { opts: AppendOptions; end: (isOk: boolean) => void }[] = [];
  const lines: string[] = [];
  const recorder = createStoppedRecorder({
    self: "10.0.0.1:7600",
    topic: "nodes",
    store: {
      append(opts: AppendOptions) {
        const answer = new Promise<boolean>((end) =>
          appends.push({ opts, end })
        );
        return ResultAsync.fromSafePromise(answer).andThen((isOk) =>
          isOk ? ok(0) : err(UNAVAILABLE)
        );
      },
    } as never,
    log: { write: (_part, _level, text) => lines.push(text), close() {} },
    random: () => 0,
    hasPeers: () => hasPeers,
  });
  if (isAdopted) recorder.adopt([], []);
  t.after(() => recorder.close());
  return { recorder, appends, lines };
}

async function turn() {
  await new Promise((resolve) => setImmediate(resolve));
}

test("confirmation waits for the store", async (t) => {
  const { recorder, appends } = startRecorder(t);
  let isConfirmed = false;
  const confirmed = recorder.record(STOPPED).then(() => isConfirmed = true);
  await turn();
  assert.equal(isConfirmed, false);
  const [append] = appends;
  const [record] = append?.opts.records ?? [];
  assert.ok(record);
  assert.equal(record.key, "stopped/10.0.0.1:7600");
  assert.deepEqual(decodeStopped(record), STOPPED);
  append?.end(true);
  await confirmed;
});

test("list that the store has is not written again", async (t) => {
  const { recorder, appends } = startRecorder(t);
  const confirmed = recorder.record(STOPPED);
  appends[0]?.end(true);
  await confirmed;
  await recorder.record([...STOPPED]);
  assert.equal(appends.length, 1);
});

test("list that changes during a write is written next", async (t) => {
  const { recorder, appends } = startRecorder(t);
  const first = recorder.record(STOPPED);
  const longer = [...STOPPED, { id: "i-2", bornAt: 2_000 }];
  const second = recorder.record(longer);
  appends[0]?.end(true);
  await turn();
  const [record] = appends[1]?.opts.records ?? [];
  assert.ok(record);
  assert.deepEqual(decodeStopped(record), longer);
  appends[1]?.end(true);
  await Promise.all([first, second]);
});

test("silent store does not withhold the confirmation", async (t) => {
  const { recorder, appends, lines } = startRecorder(t);
  await recorder.record(STOPPED);
  assert.deepEqual(lines, ["stopped endpoint confirmed before it was stored"]);
  appends[0]?.end(true);
});

// The confirmation was forgotten with the only process that knew of it.
test("stop that no other process knows is not confirmed", async (t) => {
  const { recorder, appends, lines } = startRecorder(t, { hasPeers: false });
  let isConfirmed = false;
  const confirmed = recorder.record(STOPPED).then(() => isConfirmed = true);
  await waitFor({
    what: "the wait for the store is over",
    limitMs: 60_000,
    isTrue: () => lines.length > 0,
  });
  await turn();
  assert.equal(isConfirmed, false);
  appends[0]?.end(true);
  await confirmed;
});

test("list of an earlier process is read before it is replaced", async (t) => {
  const { recorder, appends } = startRecorder(t, { isAdopted: false });
  const next = { id: "i-2", bornAt: 2_000 };
  recorder.add([next]);
  await turn();
  assert.equal(appends.length, 0);
  recorder.adopt(STOPPED, [...STOPPED, next]);
  await turn();
  const [record] = appends[0]?.opts.records ?? [];
  assert.ok(record);
  assert.deepEqual(decodeStopped(record), [...STOPPED, next]);
  appends[0]?.end(true);
});

test("failed write is repeated until the store has the list", async (t) => {
  const { recorder, appends } = startRecorder(t);
  const confirmed = recorder.record(STOPPED);
  appends[0]?.end(false);
  await confirmed;
  assert.equal(appends.length, 2);
  appends[1]?.end(true);
  await recorder.record(STOPPED);
  assert.equal(appends.length, 2);
});
