/**
 * Splits a snapshot into records of the log.
 * @module
 */
import type { EncodedSnapshot } from "./encode_snapshot.ts";
import { RecordKind, type SnapshotRecord } from "./messages.ts";

/** Maximum number of characters of a snapshot's data in one record. */
export const MAX_CHUNK_LENGTH = 64 * 1024;

/** Returns the chunks in the order in which they have to be appended. */
export function splitSnapshot(snapshot: EncodedSnapshot): SnapshotRecord[] {
  const { through, hash, data } = snapshot;
  const chunks = Math.max(1, Math.ceil(data.length / MAX_CHUNK_LENGTH));
  return Array.from({ length: chunks }, (_, chunk) => ({
    kind: RecordKind.Snapshot,
    through,
    chunk,
    chunks,
    hash,
    data: data.slice(chunk * MAX_CHUNK_LENGTH, (chunk + 1) * MAX_CHUNK_LENGTH),
  }));
}
