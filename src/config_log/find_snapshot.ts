/**
 * Finds the newest complete snapshot while the log is read backwards.
 * @module
 */
import type { LagoonError } from "../core/errors.ts";
import type { Offset } from "../core/types.ts";
import { decodeSnapshot } from "./decode_snapshot.ts";
import type { EncodedSnapshot } from "./encode_snapshot.ts";
import { type LogRecord, RecordKind, type SnapshotRecord } from "./messages.ts";
import { parseEnvelope } from "./parse_envelope.ts";

/** Limit on the characters of chunks held for incomplete snapshots. */
const MAX_HELD_LENGTH = 32 * 1024 * 1024;

/** Chunks found so far of one writer's snapshot. */
interface FoundChunks {
  readonly chunks: Map<number, string>;
  readonly count: number;
}

/** Progress of a search for a snapshot. */
export interface SnapshotSearch {
  /** Chunks by writer, offset and hash of their snapshot. */
  readonly found: Map<string, FoundChunks>;
  /** Characters of all chunks in `found`. */
  heldLength: number;
}

/** Options of `findSnapshot`. */
export interface FindSnapshotOptions {
  readonly search: SnapshotSearch;
  /** A page of the log, older than all pages passed in before. */
  readonly records: readonly LogRecord[];
  /**
   * Oldest offset that the log retains. The records after a snapshot have to be
   * in the log, or the state can't be folded on from it.
   */
  readonly oldest: Offset;
  /** Called for each snapshot that is skipped because it is corrupt. */
  readonly onSkipped: (err: LagoonError) => void;
}

/** Creates a search before its first page. */
export function createSnapshotSearch(): SnapshotSearch {
  return { found: new Map(), heldLength: 0 };
}

/**
 * Searches a page from its newest record to its oldest. Returns the first
 * snapshot whose chunks are all found.
 */
export function findSnapshot(
  opts: FindSnapshotOptions,
): EncodedSnapshot | undefined {
  for (const record of opts.records.toReversed()) {
    const chunk = parseChunk(record);
    // Skips a snapshot if retention has removed a record that follows it.
    if (chunk === undefined || chunk.record.through + 1 < opts.oldest) continue;
    const snapshot = addChunk(opts.search, chunk.writer, chunk.record);
    if (snapshot === undefined) continue;
    const decoded = decodeSnapshot(snapshot);
    if (decoded.isOk()) return snapshot;
    opts.onSkipped(decoded.error);
  }
  return undefined;
}

function parseChunk(
  record: LogRecord,
): { writer: string; record: SnapshotRecord } | undefined {
  // Avoids parsing records of other kinds, which costs more than this check.
  if (!record.body.includes(`"${RecordKind.Snapshot}"`)) return undefined;
  const parsed = parseEnvelope(record.body);
  if (parsed.isErr()) return undefined;
  const { writer, record: chunk } = parsed.value;
  return chunk.kind === RecordKind.Snapshot
    ? { writer, record: chunk }
    : undefined;
}

function addChunk(
  search: SnapshotSearch,
  writer: string,
  record: SnapshotRecord,
): EncodedSnapshot | undefined {
  const { through, hash, chunk, chunks: count, data } = record;
  const key = `${writer} ${through} ${hash}`;
  const known = search.found.get(key) ?? { chunks: new Map(), count };
  if (known.count !== count || known.chunks.has(chunk)) return undefined;
  search.found.set(key, known);
  known.chunks.set(chunk, data);
  search.heldLength += data.length;
  dropOldest(search);
  if (known.chunks.size < count) return undefined;
  const parts = Array.from({ length: count }, (_, at) => known.chunks.get(at));
  search.found.delete(key);
  search.heldLength -= parts.join("").length;
  return { through, hash, data: parts.join("") };
}

/**
 * Drops the chunks of the snapshots found first until the rest fits. A snapshot
 * whose writer stopped halfway never becomes complete.
 */
function dropOldest(search: SnapshotSearch) {
  for (const [key, { chunks }] of search.found) {
    if (search.heldLength <= MAX_HELD_LENGTH) return;
    search.found.delete(key);
    for (const data of chunks.values()) search.heldLength -= data.length;
  }
}
