/**
 * Finds the newest whole snapshot while reading the log backwards.
 * @module
 */
import type { LagoonError } from "../core/errors.ts";
import type { Offset } from "../core/types.ts";
import { decodeSnapshot } from "./decode_snapshot.ts";
import type { EncodedSnapshot } from "./encode_snapshot.ts";
import { type LogRecord, RecordKind, type SnapshotRecord } from "./messages.ts";
import { parseEnvelope } from "./parse_envelope.ts";

/** Characters of chunks held while their snapshot is not whole. */
const maxHeldLength = 32 * 1024 * 1024;

/** Chunks found so far of one snapshot of one writer. */
interface FoundChunks {
  readonly chunks: Map<number, string>;
  readonly count: number;
}

/** Progress of a search. */
export interface SnapshotSearch {
  readonly found: Map<string, FoundChunks>;
  heldLength: number;
}

/** Options of `findSnapshot`. */
export interface FindSnapshotOptions {
  readonly search: SnapshotSearch;
  /** A page of the log, older than every page before it. */
  readonly records: readonly LogRecord[];
  /** Oldest offset that the log keeps: the tail has to join on. */
  readonly oldest: Offset;
  /** Told of each snapshot that is corrupt and skipped. */
  readonly onSkipped: (err: LagoonError) => void;
}

/** Creates a search that has read nothing. */
export function createSnapshotSearch(): SnapshotSearch {
  return { found: new Map(), heldLength: 0 };
}

/** Takes a page, newest record first. Returns a snapshot once one is whole. */
export function findSnapshot(
  opts: FindSnapshotOptions,
): EncodedSnapshot | undefined {
  for (const record of opts.records.toReversed()) {
    const chunk = parseChunk(record);
    // A snapshot whose tail is past retention is of no use.
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
  // Parsing every edit of the log again would cost more than this look.
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

/** Drops torn snapshots, which stay incomplete for ever. */
function dropOldest(search: SnapshotSearch) {
  for (const [key, { chunks }] of search.found) {
    if (search.heldLength <= maxHeldLength) return;
    search.found.delete(key);
    for (const data of chunks.values()) search.heldLength -= data.length;
  }
}
