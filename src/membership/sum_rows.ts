/**
 * Checksums over buckets of rows, by which two nodes find where their views
 * differ.
 * @module
 */
import type { NodeId } from "../core/types.ts";
import { type MemberRow, MemberStatus } from "./messages.ts";

/** Buckets that members are divided into by the hash of their id. */
export const BUCKET_COUNT = 16;

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** Returns the bucket of a member, which is the same on every node. */
export function bucketOf(id: NodeId): number {
  return hashText(id) % BUCKET_COUNT;
}

/** Returns the sums of the given rows, one for each bucket. */
export function createSums(rows: readonly MemberRow[]): number[] {
  const sums = new Array<number>(BUCKET_COUNT).fill(0);
  for (const row of rows) toggleRow(sums, row);
  return sums;
}

/** Adds a row to the sums, or removes it: the sums are an XOR of row hashes. */
export function toggleRow(sums: number[], row: MemberRow) {
  const bucket = bucketOf(row.info.id);
  sums[bucket] = ((sums[bucket] ?? 0) ^ hashRow(row)) >>> 0;
}

/**
 * Hashes the fields that order a row. A suspicion is temporary, so suspect and
 * alive give the same hash.
 */
export function hashRow(row: MemberRow): number {
  const { info, incarnation, revision, status } = row;
  const isGone = status === MemberStatus.Left || status === MemberStatus.Dead;
  return hashText(`${info.id} ${incarnation} ${revision} ${isGone}`);
}

/** FNV-1a, 32 bits. */
function hashText(text: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  return hash >>> 0;
}
