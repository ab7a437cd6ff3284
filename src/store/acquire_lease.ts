/**
 * Acquires the lease under which the statuses of traffic shifts are recorded.
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import * as v from "valibot";
import { parseJson } from "../core/parse_json.ts";
import type { NodeId } from "../core/types.ts";
import { eraOf } from "./position.ts";
import type { KeyedRecord, KeyedStore, StoreError } from "./state.ts";

/** Key of the lease, in the same topic as the records that it protects. */
export const LEASE_KEY = "lease";

const leaseSchema = v.object({
  epoch: v.pipe(v.number(), v.safeInteger(), v.minValue(0)),
  holder: v.string(),
});

/**
 * Epochs of one era of the store. A restored store has forgotten the newest
 * epochs; with the era as their upper part, those of the next era are higher
 * than all that any node holds.
 */
const EPOCHS_PER_ERA = 2 ** 20;

/** Numbers of a holder's appends under its lease: of the lease, then records. */
const LEASE_SEQ = 0;
export const FIRST_RECORD_SEQ = LEASE_SEQ + 1;

/** Options of `acquireLease`. */
export interface AcquireLeaseOptions {
  readonly store: KeyedStore;
  readonly topic: string;
  /** Name under which the store fences the holders. */
  readonly producer: string;
  readonly holder: NodeId;
  readonly signal: AbortSignal;
}

/** A lease that was granted. */
export interface AcquiredLease {
  readonly epoch: number;
  /** Newest records of the topic, written by earlier holders. */
  readonly records: readonly KeyedRecord[];
}

/**
 * Acquires the lease with the next epoch, regardless of its current holder. If
 * two nodes try at the same time, one of the appends fails with a conflict,
 * since each is conditional on the end of the topic. The same append fences the
 * earlier holder: from then on the store rejects its records.
 */
export async function acquireLease(
  opts: AcquireLeaseOptions,
): Promise<Result<AcquiredLease, StoreError>> {
  const { store, topic, holder } = opts;
  const page = await store.newest(topic, opts.signal);
  if (page.isErr()) return err(page.error);
  const { records } = page.value;
  const leaseRecord = records.find((record) => record.key === LEASE_KEY);
  const firstEpoch = eraOf(page.value.next) * EPOCHS_PER_ERA;
  const epoch = Math.max(epochOf(leaseRecord?.value), firstEpoch) + 1;
  const value = Buffer.from(JSON.stringify({ epoch, holder }));
  const appended = await store.append({
    topic,
    records: [{ key: LEASE_KEY, value }],
    condition: {
      type: "at-end-fenced",
      end: page.value.next,
      producer: opts.producer,
      epoch,
      seq: LEASE_SEQ,
    },
    signal: opts.signal,
  });
  return appended.isErr() ? err(appended.error) : ok({ epoch, records });
}

/**
 * Returns 0 for a missing or malformed lease. Fencing still rejects stale
 * writes.
 */
function epochOf(value: Buffer | undefined): number {
  if (value === undefined) return 0;
  const parsed = v.safeParse(leaseSchema, parseJson(value.toString()));
  return parsed.success ? parsed.output.epoch : 0;
}
