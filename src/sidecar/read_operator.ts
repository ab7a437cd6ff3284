/**
 * Keeps the newest records of operators, from the store and from peers.
 * @module
 */
import type { Offset } from "../core/types.ts";
import { formatError } from "../core/errors.ts";
import { hashText } from "../core/hash_text.ts";
import { findRemovedKeys } from "../evacuation/find_removed_keys.ts";
import { type Log, LogLevel } from "../logs/create_log.ts";
import type { RouteTable } from "../routes/state.ts";
import { eraOf } from "../store/position.ts";
import type { KeyedRecord } from "../store/state.ts";
import type { ShiftOrder } from "../traffic_shift/state.ts";
import type { Platform } from "./platform_port.ts";

/** Number of replaced values of a key that are recognized. */
const MAX_REPLACED_VALUES = 8;

/**
 * Part of an offset by which a node is ahead of a restored store that lacks
 * records of it. Peers that have read as far as the store request them then.
 */
const AHEAD_OFFSET = 0.5;

/** Options of `createOperatorReader`. */
export interface CreateOperatorReaderOptions {
  readonly platform: Pick<Platform, "decodeOperatorRecord">;
  readonly log: Log;
  /** `bytes` is the size of the record that held the table. */
  readonly onTable: (table: RouteTable, bytes: number) => void;
  /** `isNew` is false for orders that existed before this node first read. */
  readonly onOrder: (order: ShiftOrder, isNew: boolean) => void;
  readonly onEvacuation: (domain: string, isActive: boolean) => void;
}

export interface OperatorReader {
  /**
   * Applies records from the store or a peer. Those read before are ignored.
   * `isComplete` tells that they are the newest records of all keys, so that
   * evacuations without a record have ended.
   */
  applyRecords(
    records: readonly KeyedRecord[],
    end: Offset,
    isComplete: boolean,
  ): void;
  /**
   * The newest record of each key that came after an offset, for peers. Of keys
   * removed before the last complete read there is no record, so records from
   * before its end are sent with those of all other keys.
   */
  since(from: Offset): RecordsSince;
  /** Offset up to which records were applied. */
  end(): Offset;
}

export interface RecordsSince {
  /** Negative if the records are the newest of all keys. */
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
  /** Keys of which this node knows a later record than a restored store. */
  const ahead = new Set<string>();
  /** End of the last complete read. */
  let completeEnd: Offset = -1;
  /** Keys of the evacuations in force. */
  const evacuationKeys = new Set<string>();
  /** Last result of `since`, since many peers request the same records. */
  let cached: RecordsSince = { from: -1, end: -1, records: [] };

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
    ahead.delete(record.key);
    switch (decoded.value.type) {
      case "table":
        opts.onTable(decoded.value.table, record.value?.length ?? 0);
        return true;
      case "order":
        opts.onOrder(decoded.value.order, isNew);
        return true;
      case "evacuation": {
        const { domain, isActive } = decoded.value;
        if (isActive) evacuationKeys.add(record.key);
        else evacuationKeys.delete(record.key);
        opts.onEvacuation(domain, isActive);
        return true;
      }
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
    ahead.add(key);
    const text = "record ignored: this node knows a later one";
    opts.log.write("config", LogLevel.Warn, text, { key, ...fields });
    return true;
  }

  /** Whether a restored store holds a value that was replaced since its copy. */
  function isReplaced(record: KeyedRecord): boolean {
    return replaced.get(record.key)?.includes(hashOf(record)) === true;
  }

  /** A restored store lacks what was written after its copy. */
  function keepMissing(records: readonly KeyedRecord[]) {
    const present = new Set(records.map(({ key }) => key));
    for (const [key, { record }] of newest) {
      if (record.value !== undefined && !present.has(key)) ahead.add(key);
    }
  }

  /** The removal is kept like a record of it, for peers. */
  function endMissingEvacuations(
    records: readonly KeyedRecord[],
    isNew: boolean,
  ) {
    for (const key of findRemovedKeys(evacuationKeys, records)) {
      decode({ key, value: undefined }, isNew);
    }
  }

  return {
    applyRecords(records, end, isComplete) {
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
      if (isComplete) {
        completeEnd = end;
        if (isRestored) keepMissing(records);
        else endMissingEvacuations(records, isNew);
      }
      if (ahead.size === 0 || !Number.isInteger(end)) return;
      readEnd = end + AHEAD_OFFSET;
      for (const key of ahead) {
        const known = newest.get(key);
        if (known !== undefined) newest.set(key, { ...known, end: readEnd });
      }
    },
    since(wanted) {
      const from = wanted < completeEnd ? -1 : wanted;
      if (cached.from === from && cached.end === readEnd) return cached;
      const records = [...newest.values()].flatMap(({ record, end }) =>
        end > from ? [record] : []
      );
      cached = { from, end: readEnd, records };
      return cached;
    },
    end: () => readEnd,
  };
}

function hashOf(record: KeyedRecord | undefined): number {
  return hashText(record?.value?.toString("latin1") ?? "");
}
