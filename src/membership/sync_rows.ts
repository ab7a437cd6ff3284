/**
 * Finds and exchanges the rows in which two nodes' views differ.
 * @module
 */
import type { MonotonicMs, NodeId } from "../core/types.ts";
import type { MemberRow } from "./messages.ts";
import { send } from "./overlay_of.ts";
import type { MembershipEffect, MembershipState } from "./state.ts";
import { bucketCount, bucketOf } from "./sum_rows.ts";
import { isNewer, takeRow } from "./take_row.ts";

/** Rows exchanged at once, so that a message stays small. */
const maxRows = 80;

/** Answers sums that differ with the rows of some of those buckets. */
export function compareSums(
  state: MembershipState,
  from: NodeId,
  sums: readonly number[],
): MembershipEffect[] {
  const different = state.sums.flatMap((sum, bucket) =>
    sum === sums[bucket] ? [] : bucket
  );
  if (different.length === 0) return [];
  const perBucket = (state.members.size + state.departed.size) / bucketCount;
  const buckets = different.slice(0, Math.ceil(maxRows / perBucket));
  const rows = rowsOf(state, buckets);
  return [send(from, { type: "membership/sync", buckets, rows })];
}

/** Options of `takeSync`. */
export interface TakeSyncOptions {
  readonly from: NodeId;
  readonly buckets: readonly number[];
  readonly rows: readonly MemberRow[];
  readonly now: MonotonicMs;
}

/** Takes the peer's rows and returns those that are newer here. */
export function takeSync(
  state: MembershipState,
  opts: TakeSyncOptions,
): MembershipEffect[] {
  const { from, buckets, now } = opts;
  const theirs = new Map(opts.rows.map((row) => [row.info.id, row]));
  const newer = rowsOf(state, buckets).filter((row) => {
    const other = theirs.get(row.info.id);
    return other === undefined || isNewer(row, other);
  });
  const effects = opts.rows.flatMap((row) =>
    takeRow(state, { from, row, now })
  );
  if (newer.length === 0) return effects;
  // No buckets: the peer has nothing to answer.
  const message = {
    type: "membership/sync",
    buckets: [],
    rows: newer,
  } as const;
  return [...effects, send(from, message)];
}

function rowsOf(
  state: MembershipState,
  buckets: readonly number[],
): MemberRow[] {
  const wanted = new Set(buckets);
  const isWanted = (id: NodeId) => wanted.has(bucketOf(id));
  return [...state.members, ...state.departed]
    .filter(([id]) => isWanted(id)).map(([, known]) => known.row);
}
