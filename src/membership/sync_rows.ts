/**
 * Finds and exchanges the rows in which two nodes' views differ.
 *
 * Nodes compare the sums of buckets, then exchange the hashes of the rows in
 * buckets that differ, then only the missing rows. So the traffic of a repair
 * grows with the difference and not with the number of members.
 * @module
 */
import type { MonotonicMs, NodeId } from "../core/types.ts";
import type { MemberRow, MembershipMessage } from "./messages.ts";
import { send } from "./overlay_of.ts";
import type { MembershipEffect, MembershipState } from "./state.ts";
import { bucketOf, hashRow } from "./sum_rows.ts";
import { applyRow } from "./apply_row.ts";
import type { Receipt } from "./apply_summary.ts";

/** Maximum number of rows in one message. */
const MAX_ROWS_PER_MESSAGE = 80;

/** Minimum number of ticks between two repairs that a node begins. */
const SYNC_INTERVAL_TICKS = 2;

/** Time for which rows of departed members take part in repairs. */
const DEPARTED_SYNC_MS = 120_000;

type SyncMessage = Extract<MembershipMessage, { type: "membership/sync" }>;

/** Answers sums that differ with the hashes of the rows in those buckets. */
export function compareSums(
  state: MembershipState,
  sums: readonly number[],
  receipt: Receipt,
): MembershipEffect[] {
  const buckets = state.sums.flatMap((sum, bucket) =>
    sum === sums[bucket] ? [] : bucket
  );
  const isTooSoon = state.ticks - state.syncedAtTick < SYNC_INTERVAL_TICKS;
  if (buckets.length === 0 || isTooSoon) return [];
  state.syncedAtTick = state.ticks;
  const hashes = rowsOf(state, buckets, receipt.now).map(hashRow);
  const type = "membership/sync";
  return [
    send(receipt.from, { type, buckets, hashes, rows: [], isLast: false }),
  ];
}

/** Merges the peer's rows and answers with the rows that the peer lacks. */
export function handleSync(
  state: MembershipState,
  message: SyncMessage,
  receipt: Receipt,
): MembershipEffect[] {
  const { buckets, isLast } = message;
  const { from, now } = receipt;
  const effects = message.rows.flatMap((row) =>
    applyRow(state, { from, row, now })
  );
  if (message.hashes === null) return effects;
  const own = rowsOf(state, buckets, now);
  const theirs = new Set(message.hashes);
  const rows = own.filter((row) => !theirs.has(hashRow(row)))
    .slice(0, MAX_ROWS_PER_MESSAGE);
  const ownHashes = own.map(hashRow);
  const isAllKnown = message.hashes.every((one) => ownHashes.includes(one));
  const hashes = isLast || isAllKnown ? null : ownHashes;
  if (rows.length === 0 && hashes === null) return effects;
  const type = "membership/sync";
  const reply = { type, buckets, hashes, rows, isLast: true } as const;
  return [...effects, send(from, reply)];
}

function rowsOf(
  state: MembershipState,
  buckets: readonly number[],
  now: MonotonicMs,
): MemberRow[] {
  const wanted = new Set(buckets);
  const isWanted = (id: NodeId) => wanted.has(bucketOf(id));
  const departed = [...state.departed].filter(([, known]) =>
    now - known.receivedAt < DEPARTED_SYNC_MS
  );
  return [...state.members, ...departed].filter(([id]) => isWanted(id))
    .map(([, known]) => known.row);
}
