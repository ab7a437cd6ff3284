/**
 * Takes the lease under which statuses of moves are recorded.
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import * as v from "valibot";
import { parseJson } from "../core/parse_json.ts";
import type { NodeId } from "../core/types.ts";
import type { KeyedRecord, KeyedStore, StoreError } from "./state.ts";

/** Key of the lease beside the records that it protects. */
export const LEASE_KEY = "lease";

const leaseSchema = v.object({
  epoch: v.pipe(v.number(), v.safeInteger(), v.minValue(0)),
  holder: v.string(),
});

/** Options of `acquireLease`. */
export interface AcquireLeaseOptions {
  readonly store: KeyedStore;
  readonly topic: string;
  readonly holder: NodeId;
  readonly signal: AbortSignal;
}

/** A lease that was granted. */
export interface AcquiredLease {
  readonly epoch: number;
  /** What earlier holders have written beside it. */
  readonly records: readonly KeyedRecord[];
}

/**
 * Takes the lease over with the next epoch. Two nodes that try at once are
 * parted by the topic's end: one of them conflicts.
 */
export async function acquireLease(
  opts: AcquireLeaseOptions,
): Promise<Result<AcquiredLease, StoreError>> {
  const { store, topic, holder } = opts;
  const page = await store.newest(topic, opts.signal);
  if (page.isErr()) return err(page.error);
  const { records } = page.value;
  const known = records.find((record) => record.key === LEASE_KEY);
  const epoch = epochOf(known?.value) + 1;
  const value = Buffer.from(JSON.stringify({ epoch, holder }));
  const appended = await store.append({
    topic,
    records: [{ key: LEASE_KEY, value }],
    condition: { type: "at-end", end: page.value.next },
    signal: opts.signal,
  });
  return appended.isErr() ? err(appended.error) : ok({ epoch, records });
}

/** A lease that can't be read counts as none; the fence still holds. */
function epochOf(value: Buffer | undefined): number {
  if (value === undefined) return 0;
  const parsed = v.safeParse(leaseSchema, parseJson(value.toString()));
  return parsed.success ? parsed.output.epoch : 0;
}
