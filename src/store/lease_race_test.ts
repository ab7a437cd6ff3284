import { test } from "node:test";
import assert from "node:assert/strict";
import fc from "fast-check";
import { errAsync, okAsync, ResultAsync } from "neverthrow";
import { checkAsyncProperty } from "../testing/check_property.ts";
import { acquireLease, FIRST_RECORD_SEQ, LEASE_KEY } from "./acquire_lease.ts";
import type {
  AppendCondition,
  KeyedRecord,
  KeyedStore,
  StoreError,
  StoreFault,
} from "./state.ts";

const TOPIC = "status";
const PRODUCER = "moves";

/** What happens to a call: its answer may be lost, or it may run afterwards. */
const Fate = { Answered: "answered", Lost: "lost", Late: "late" } as const;
type Fate = typeof Fate[keyof typeof Fate];

function storeError(fault: StoreFault): StoreError {
  return {
    code: "LAGOON_STORE_FAILED",
    step: "test",
    peer: "store",
    message: "failed",
    fault,
  };
}

/** The users' store, as their protocol describes it. */
function createModelStore(scheduler: fc.Scheduler, fates: readonly Fate[]) {
  const log: KeyedRecord[] = [];
  let fence = { epoch: -1, seq: 0 };
  let calls = 0;

  function run(
    records: readonly KeyedRecord[],
    condition: AppendCondition,
  ): StoreFault | undefined {
    const { type } = condition;
    const hasEnd = type === "at-end" || type === "at-end-fenced";
    if (hasEnd && condition.end !== log.length) return { type: "conflict" };
    if (type === "fenced" || type === "at-end-fenced") {
      const { epoch, seq } = condition;
      if (epoch < fence.epoch) return { type: "fenced" };
      if (epoch === fence.epoch && seq !== fence.seq + 1) {
        return { type: "conflict" };
      }
      fence = { epoch, seq };
    }
    log.push(...records);
    return undefined;
  }

  async function append(
    records: readonly KeyedRecord[],
    condition: AppendCondition,
  ): Promise<StoreFault | undefined> {
    const fate = fates[calls++ % fates.length] ?? Fate.Answered;
    if (fate === Fate.Late) {
      void scheduler.schedule(Promise.resolve(), "late").then(() =>
        run(records, condition)
      );
      return { type: "unavailable", mayBeDone: true };
    }
    await scheduler.schedule(Promise.resolve(), "request");
    const fault = run(records, condition);
    await scheduler.schedule(Promise.resolve(), "answer");
    return fate === Fate.Lost
      ? { type: "unavailable", mayBeDone: true }
      : fault;
  }

  const store: KeyedStore = {
    append: ({ records, condition }) =>
      ResultAsync.fromSafePromise(append(records, condition)).andThen(
        (fault) =>
          fault === undefined
            ? okAsync({ offset: 0 })
            : errAsync(storeError(fault)),
      ),
    newest: () =>
      ResultAsync.fromSafePromise(
        scheduler.schedule(Promise.resolve(), "read").then(() => {
          const newest = new Map(log.map((record) => [record.key, record]));
          return { records: [...newest.values()], next: log.length };
        }),
      ),
    read: () => errAsync(storeError({ type: "conflict" })),
    close: () => Promise.resolve(),
  };
  return { store, log };
}

/** A node that acquires the lease and records under it, again and again. */
async function lead(store: KeyedStore, holder: string, records: number) {
  const { signal } = new AbortController();
  const lease = await acquireLease({
    store,
    topic: TOPIC,
    producer: PRODUCER,
    holder,
    signal,
  });
  if (lease.isErr()) return;
  const { epoch } = lease.value;
  for (let at = 0; at < records; at++) {
    const appended = await store.append({
      topic: TOPIC,
      records: [{ key: "one", value: Buffer.from(`${epoch}`) }],
      condition: {
        type: "fenced",
        producer: PRODUCER,
        epoch,
        seq: FIRST_RECORD_SEQ + at,
      },
    });
    if (appended.isErr()) return;
  }
}

function epochOf({ key, value }: KeyedRecord): number {
  const text = String(value);
  return key === LEASE_KEY
    ? (JSON.parse(text) as { epoch: number }).epoch
    : Number(text);
}

test("no earlier holder writes after the lease has passed on", async () => {
  const fate = fc.constantFrom(...Object.values(Fate));
  await checkAsyncProperty(
    fc.asyncProperty(
      fc.scheduler(),
      fc.array(fate, { minLength: 1, maxLength: 12 }),
      fc.array(fc.integer({ min: 1, max: 3 }), { minLength: 2, maxLength: 5 }),
      async (scheduler, fates, leaders) => {
        const { store, log } = createModelStore(scheduler, fates);
        const leading = leaders.map((records, at) =>
          lead(store, `node-${at}`, records)
        );
        await scheduler.waitFor(Promise.all(leading));
        await scheduler.waitIdle();
        const epochs = log.map(epochOf);
        assert.deepEqual(epochs, epochs.toSorted((a, b) => a - b));
        const leases = log.filter(({ key }) => key === LEASE_KEY).map(epochOf);
        assert.equal(new Set(leases).size, leases.length);
      },
    ),
    { runs: 500 },
  );
});
