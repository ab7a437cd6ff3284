/**
 * Keeps the newest records of operators, from the store and from peers.
 * @module
 */
import type { Offset } from "../core/types.ts";
import { formatError } from "../core/errors.ts";
import { hashText } from "../core/hash_text.ts";
import { type Log, LogLevel } from "../logs/create_log.ts";
import type { RouteTable } from "../routes/state.ts";
import { eraOf } from "../store/position.ts";
import type { KeyedRecord } from "../store/state.ts";
import type { ShiftOrder } from "../traffic_shift/state.ts";
import type { Platform } from "./platform_port.ts";

/** Number of replaced values of a key that are recognized. */
const MAX_REPLACED_VALUES = 8;

/** Options of `createOperatorReader`. */
export interface CreateOperatorReaderOptions {
  readonly platform: Pick<Platform, "decodeOperatorRecord">;
  readonly log: Log;
  /** `bytes` is the size of the record that held the table. */
  readonly onTable: (table: RouteTable, bytes: number) => void;
  /** `isNew` is false for orders that existed before this node first read. */
  readonly onOrder: (order: ShiftOrder, isNew: boolean) => void;
}

export interface OperatorReader {
  /**
   * Applies records from the store or a peer. Those read before are ignored.
   */
  applyRecords(records: readonly KeyedRecord[], end: Offset): void;
  /** The newest record of each key that came after an offset, for peers. */
  since(from: Offset): readonly KeyedRecord[];
  /** Offset up to which records were applied. */
  end(): Offset;
}

/** Result of `since`. */
interface CachedRecords {
  readonly from: Offset;
  readonly end: Offset;
  readonly records: readonly KeyedRecord[];
}

/** Creates a reader that has not read any record yet. */
export function createOperatorReader(
  opts: CreateOperatorReaderOptions,
): OperatorReader {
  /** `end` is the end offset of the page that contained the record. */
  const newest = new Map<string, { record: KeyedRecord; end: Offset }>();
  let readEnd: Offset = -1;
  /** Version of the newest table; an older one is never forwarded to peers. */
  let tableVersion = -Infinity;
  /** Hashes of the values that were replaced, by key, the newest last. */
  const replaced = new Map<string, number[]>();
  /** Last result of `since`, since many peers request the same records. */
  let cached: CachedRecords = { from: -1, end: -1, records: [] };

  /**
   * Returns false if the record is invalid. An earlier valid record is used
   * instead.
   */
  function decode(record: KeyedRecord, isNew: boolean): boolean {
    const decoded = opts.platform.decodeOperatorRecord(record);
    if (decoded.isErr()) {
      const reason = formatError(decoded.error);
      opts.log.write("config", LogLevel.Error, "operator record rejected", {
        reason,
      });
      return false;
    }
    if (decoded.value.type === "table") {
      const { version } = decoded.value.table;
      if (version < tableVersion) return ignoreOlder(record, { version });
      tableVersion = version;
    } else {
      rememberReplaced(record);
    }
    newest.set(record.key, { record, end: readEnd });
    switch (decoded.value.type) {
      case "table":
        opts.onTable(decoded.value.table, record.value?.length ?? 0);
        return true;
      case "order":
        opts.onOrder(decoded.value.order, isNew);
        return true;
      case "evacuation":
      case "other":
        return true;
    }
  }

  /** Tables are not remembered: their versions tell which one is later. */
  function rememberReplaced(record: KeyedRecord) {
    const { key } = record;
    const known = newest.get(key)?.record;
    const hash = hashOf(known);
    if (known !== undefined && hash !== hashOf(record)) {
      const hashes = replaced.get(key) ?? [];
      replaced.set(key, [...hashes, hash].slice(-MAX_REPLACED_VALUES));
    }
  }

  function ignoreOlder(
    { key }: KeyedRecord,
    fields: Record<string, unknown> = {},
  ): boolean {
    const text = "record ignored: this node knows a later one";
    opts.log.write("config", LogLevel.Warn, text, { key, ...fields });
    return true;
  }

  /** Whether a restored store holds a value that was replaced since its copy. */
  function isReplaced(record: KeyedRecord): boolean {
    return replaced.get(record.key)?.includes(hashOf(record)) === true;
  }

  return {
    applyRecords(records, end) {
      // Peers and the store may both send records that were read before.
      if (end <= readEnd) return;
      const isNew = readEnd >= 0;
      // The store was restored from a copy. What this node knows goes before
      // it, until the operator has written again.
      const isRestored = isNew && eraOf(end) > eraOf(readEnd);
      readEnd = end;
      // Of many changes of a key only the newest valid record is used.
      const decoded = new Set<string>();
      for (const record of records.toReversed()) {
        if (decoded.has(record.key)) continue;
        if (isRestored && isReplaced(record)) ignoreOlder(record);
        else if (!decode(record, isNew)) continue;
        decoded.add(record.key);
      }
    },
    since(from) {
      if (cached.from === from && cached.end === readEnd) return cached.records;
      const records = [...newest.values()].flatMap(({ record, end }) =>
        end > from ? [record] : []
      );
      cached = { from, end: readEnd, records };
      return records;
    },
    end: () => readEnd,
  };
}

function hashOf(record: KeyedRecord | undefined): number {
  return hashText(record?.value?.toString("latin1") ?? "");
}
