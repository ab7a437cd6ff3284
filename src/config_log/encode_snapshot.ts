/**
 * Encodes the folded state as text. The same state gives the same bytes.
 * @module
 */
import { createHash } from "node:crypto";
import { deflateRawSync } from "node:zlib";
import type { ConfigState } from "./state.ts";

/** Version of the snapshot's content format. A decoder refuses any other. */
export const SNAPSHOT_FORMAT = 1;

/**
 * Compression level. zlib's default takes four times as long and saves only 2%
 * of the bytes.
 */
const DEFLATE_LEVEL = 3;

/** A folded state as text, for records of the log and messages to peers. */
export interface EncodedSnapshot {
  /** Offset of the last record that the state includes. */
  readonly through: number;
  /** SHA-256 of `data`, in hexadecimal. */
  readonly hash: string;
  /** Deflated JSON content in base64. */
  readonly data: string;
}

/** Encodes a state. Keys are sorted, except where their order has a meaning. */
export function encodeSnapshot(state: ConfigState): EncodedSnapshot {
  const content = {
    format: SNAPSHOT_FORMAT,
    next: state.next,
    version: state.version,
    customersAt: state.customersAt,
    digest: state.digest,
    customers: sortEntries(state.customers),
    uses: sortEntries(state.uses),
    // Ended rollouts, removals and writers are evicted in map order, oldest
    // first, so their order is kept.
    rollouts: [...state.rollouts],
    withdrawn: sortEntries(state.withdrawn),
    removals: [...state.removals],
    leases: sortEntries(state.leases),
    presence: sortEntries(state.presence),
    writers: [...state.writers],
    snapshotThrough: state.snapshotThrough,
    snapshotsBegun: [...state.snapshotsBegun],
    audit: state.audit,
  };
  const text = JSON.stringify(sortKeys(content));
  const data = deflateRawSync(text, { level: DEFLATE_LEVEL }).toString(
    "base64",
  );
  return { through: state.next - 1, hash: hashOf(data), data };
}

/** Returns the SHA-256 of a text, in hexadecimal. */
export function hashOf(data: string): string {
  return createHash("sha256").update(data).digest("hex");
}

function sortEntries<T>(map: ReadonlyMap<string, T>): [string, T][] {
  return [...map].sort(([a], [b]) => a < b ? -1 : 1);
}

/**
 * Sorts the keys of all objects. Their insertion order depends on the history
 * of a row, so it differs between processes with the same state.
 */
function sortKeys(value: unknown): unknown {
  if (value === null || typeof value !== "object") return value;
  if (Array.isArray(value)) return value.map(sortKeys);
  const row = value as Record<string, unknown>;
  const sorted: Record<string, unknown> = {};
  for (const key of Object.keys(row).sort()) sorted[key] = sortKeys(row[key]);
  return sorted;
}
