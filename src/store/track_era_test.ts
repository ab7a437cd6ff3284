import { test } from "node:test";
import assert from "node:assert/strict";
import fc from "fast-check";
import { errAsync, okAsync, ResultAsync } from "neverthrow";
import { checkAsyncProperty } from "../testing/check_property.ts";
import { acquireLease } from "./acquire_lease.ts";
import { eraOf, offsetOf, positionOf } from "./position.ts";
import type { KeyedRecord, KeyedStore, StoreFault } from "./state.ts";
import { trackEra } from "./track_era.ts";

const TOPIC = "keyed.test";
const { signal } = new AbortController();

function storeError(fault: StoreFault, era: number) {
  const message = "failed";
  const code = "LAGOON_STORE_FAILED" as const;
  return errAsync({ code, step: "test", peer: "store", message, fault, era });
}

/** A store of one topic that can return to a copy of itself. */
function createModelStore() {
  let log: KeyedRecord[] = [];
  let fence = -1;
  let copy = { log, fence };
  let era = 1;
  const store: KeyedStore = {
    append({ records, condition }) {
      const { type } = condition;
      if (
        (type === "at-end" || type === "at-end-fenced") &&
        condition.end !== log.length
      ) return storeError({ type: "conflict" }, era);
      if (type === "fenced" || type === "at-end-fenced") {
        if (condition.epoch < fence) return storeError({ type: "fenced" }, era);
        fence = condition.epoch;
      }
      log = [...log, ...records];
      return okAsync({ offset: log.length - records.length, era });
    },
    read({ from }) {
      if (from > log.length) {
        return storeError({ type: "dropped", first: 0 }, era);
      }
      return okAsync({ records: log.slice(from), next: log.length, era });
    },
    newest: () =>
      okAsync({ records: [...newestOf(log)], next: log.length, era }),
    close: () => Promise.resolve(),
  };
  return {
    store,
    copy: () => void (copy = { log, fence }),
    restore() {
      ({ log, fence } = copy);
      era++;
    },
    newest: () =>
      new Map(newestOf(log).map(({ key, value }) => [key, `${value}`])),
  };
}

function newestOf(log: readonly KeyedRecord[]): KeyedRecord[] {
  return [...new Map(log.map((record) => [record.key, record])).values()];
}

test("positions of later eras are higher, and keep the offset", () => {
  for (const [era, offset] of [[0, 0], [1, 5], [8_000, 2 ** 39]] as const) {
    const position = positionOf(era, offset);
    assert.deepEqual([eraOf(position), offsetOf(position)], [era, offset]);
    assert.ok(positionOf(era + 1, 0) > position);
  }
  assert.deepEqual([eraOf(-1), offsetOf(-1)], [0, -1]);
});

const Step = {
  Append: "append",
  Copy: "copy",
  Restore: "restore",
  /** Starts a read whose answer arrives after the next step. */
  Read: "read",
} as const;

test("reader misses no record over restores, and its position only grows", async () => {
  const step = fc.record({
    step: fc.constantFrom(...Object.values(Step)),
    key: fc.constantFrom("a", "b", "c"),
  });
  await checkAsyncProperty(
    fc.asyncProperty(fc.array(step, { maxLength: 40 }), async (steps) => {
      const model = createModelStore();
      const raw = model.store;
      const release: (() => void)[] = [];
      /** Answers of reads arrive late. */
      const late: KeyedStore = {
        ...raw,
        read: (opts) => {
          const answer = Promise.resolve(raw.read(opts));
          const released = new Promise<void>((resolve) =>
            release.push(resolve)
          );
          return new ResultAsync(released.then(() => answer));
        },
      };
      const tracked = trackEra({ store: late, onRestored: () => {} });
      let position = -1;
      const known = new Map<string, string>();

      const accept = (records: readonly KeyedRecord[], next: number) => {
        assert.ok(next >= position, `${next} after ${position}`);
        position = next;
        for (const { key, value } of records) known.set(key, `${value}`);
      };
      const readNewest = async () => {
        const page = await tracked.newest(TOPIC, signal);
        if (page.isErr()) return;
        known.clear();
        accept(page.value.records, page.value.next);
      };
      const readOnce = async () => {
        if (position < 0) return readNewest();
        const from = position;
        const reading = tracked.read({ topic: TOPIC, from, waitMs: 0, signal });
        const page = await reading;
        if (page.isOk()) return accept(page.value.records, page.value.next);
        if (page.error.fault.type === "dropped") await readNewest();
      };
      const flush = async () => {
        await new Promise(setImmediate);
        for (const one of release.splice(0)) one();
        await new Promise(setImmediate);
      };

      let reading = Promise.resolve();
      let isReading = false;
      for (const [at, { step, key }] of steps.entries()) {
        switch (step) {
          case Step.Append:
            await raw.append({
              topic: TOPIC,
              records: [{ key, value: Buffer.from(`${at}`) }],
              condition: { type: "none" },
            });
            break;
          case Step.Copy:
            model.copy();
            break;
          case Step.Restore:
            model.restore();
            break;
          case Step.Read:
            if (isReading) break;
            isReading = true;
            reading = readOnce().finally(() => isReading = false);
            continue;
        }
        await flush();
      }
      await flush();
      await reading;
      for (let round = 0; round < 3; round++) {
        const last = readOnce();
        await flush();
        await last;
      }
      assert.deepEqual(known, model.newest());
    }),
    { runs: 300 },
  );
});

test("answer from before a restore decides nothing", async () => {
  let era = 2;
  const store: KeyedStore = {
    append: () => okAsync({ offset: 0, era }),
    read: () => okAsync({ records: [], next: 9, era }),
    newest: () => okAsync({ records: [], next: 9, era }),
    close: () => Promise.resolve(),
  };
  const restored: number[] = [];
  const tracked = trackEra({ store, onRestored: (now) => restored.push(now) });
  assert.ok((await tracked.newest(TOPIC, signal)).isOk());
  era = 3;
  assert.ok((await tracked.newest(TOPIC, signal)).isOk());
  era = 2;
  const stale = await tracked.newest(TOPIC, signal);
  assert.equal(stale._unsafeUnwrapErr().code, "LAGOON_STORE_RESTORED");
  assert.deepEqual(restored, [3]);
});

test("append on the condition of an earlier era is not sent", async () => {
  const model = createModelStore();
  const tracked = trackEra({ store: model.store, onRestored: () => {} });
  const records = [{ key: "a", value: Buffer.from("1") }];
  const first = await tracked.newest(TOPIC, signal);
  const { next: end } = first._unsafeUnwrap();
  model.restore();
  await tracked.newest(TOPIC, signal);
  const condition = { type: "at-end", end } as const;
  const appended = await tracked.append({ topic: TOPIC, records, condition });
  assert.equal(appended._unsafeUnwrapErr().fault.type, "conflict");
  assert.equal(model.newest().size, 0);
});

test("holder of a lease from before a restore can't write after the next one", async () => {
  const model = createModelStore();
  const lease = async (holder: string) => {
    const store = trackEra({ store: model.store, onRestored: () => {} });
    const opts = { topic: TOPIC, producer: "p", holder, signal };
    const acquired = await acquireLease({ store, ...opts });
    return { store, epoch: acquired._unsafeUnwrap().epoch };
  };
  const write = ({ store, epoch }: Awaited<ReturnType<typeof lease>>) =>
    store.append({
      topic: TOPIC,
      records: [{ key: "status", value: Buffer.from("x") }],
      condition: { type: "fenced", producer: "p", epoch, seq: 1 },
    });
  model.copy();
  await lease("one");
  const paused = await lease("two");
  model.restore();
  const next = await lease("three");
  assert.ok(next.epoch > paused.epoch);
  const refused = await write(paused);
  assert.equal(refused._unsafeUnwrapErr().fault.type, "fenced");
  assert.ok((await write(next)).isOk());
});
