/**
 * Finds and exchanges the rows in which two nodes' views differ.
 *
 * Sums of buckets differ first; then hashes of the rows in those buckets are
 * exchanged; then the rows themselves, so that a repair costs what it mends.
 * @module
 */
import type { MonotonicMs, NodeId } from "../core/types.ts";
import type { MemberRow, MembershipMessage } from "./messages.ts";
import { send } from "./overlay_of.ts";
import type { MembershipEffect, MembershipState } from "./state.ts";
import { bucketOf, hashRow } from "./sum_rows.ts";
import { applyRow } from "./apply_row.ts";
import type { Receipt } from "./apply_summary.ts";

/** Rows in one message at most. */
const maxRows = 80;

/** Ticks between two repairs that a node begins. */
const syncTicks = 2;

/** Time for which the departed are told of. */
const departedMs = 120_000;

type SyncMessage = Extract<MembershipMessage, { type: "membership/sync" }>;

/** Answers sums that differ with the hashes of the rows in those buckets. */
export function compareSums(
  state: MembershipState,
  sums: readonly number[],
  heard: Receipt,
): MembershipEffect[] {
  const buckets = state.sums.flatMap((sum, bucket) =>
    sum === sums[bucket] ? [] : bucket
  );
  const isPaused = state.ticks - state.syncedAt < syncTicks;
  if (buckets.length === 0 || isPaused) return [];
  state.syncedAt = state.ticks;
  const hashes = rowsOf(state, buckets, heard.now).map(hashRow);
  const type = "membership/sync";
  return [send(heard.from, { type, buckets, hashes, rows: [], isLast: false })];
}

/** Takes the peer's rows and sends those that it does not hold. */
export function handleSync(
  state: MembershipState,
  message: SyncMessage,
  heard: Receipt,
): MembershipEffect[] {
  const { buckets, isLast } = message;
  const { from, now } = heard;
  const effects = message.rows.flatMap((row) =>
    applyRow(state, { from, row, now })
  );
  if (message.hashes === null) return effects;
  const own = rowsOf(state, buckets, now);
  const theirs = new Set(message.hashes);
  const rows = own.filter((row) => !theirs.has(hashRow(row))).slice(0, maxRows);
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
    now - known.receivedAt < departedMs
  );
  return [...state.members, ...departed].filter(([id]) => isWanted(id))
    .map(([, known]) => known.row);
}
