/**
 * Sums over rows, so that two nodes find where their views differ.
 * @module
 */
import type { NodeId } from "../core/types.ts";
import { type MemberRow, MemberStatus } from "./messages.ts";

/** Buckets that members are divided into. */
export const BUCKET_COUNT = 16;

const fnvOffset = 0x811c9dc5;
const fnvPrime = 0x01000193;

/** Bucket of a member, the same on every node. */
export function bucketOf(id: NodeId): number {
  return hashText(id) % BUCKET_COUNT;
}

/** Sums of the rows given, one for each bucket. */
export function createSums(rows: readonly MemberRow[]): number[] {
  const sums = new Array<number>(BUCKET_COUNT).fill(0);
  for (const row of rows) toggleRow(sums, row);
  return sums;
}

/** Adds a row to the sums, or takes it out again. */
export function toggleRow(sums: number[], row: MemberRow) {
  const bucket = bucketOf(row.info.id);
  sums[bucket] = ((sums[bucket] ?? 0) ^ hashRow(row)) >>> 0;
}

/** Hash of what orders a row. A suspicion passes, so it makes no difference. */
export function hashRow(row: MemberRow): number {
  const { info, incarnation, revision, status } = row;
  const isGone = status === MemberStatus.Left || status === MemberStatus.Dead;
  return hashText(`${info.id} ${incarnation} ${revision} ${isGone}`);
}

/** FNV-1a, 32 bits. */
function hashText(text: string): number {
  let hash = fnvOffset;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), fnvPrime);
  }
  return hash >>> 0;
}
