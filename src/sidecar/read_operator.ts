/**
 * Keeps the newest records of operators, from the store and from peers.
 * @module
 */
import type { Offset } from "../core/types.ts";
import { formatError } from "../core/errors.ts";
import { findRemovedKeys } from "../evacuation/find_removed_keys.ts";
import { type Log, LogLevel } from "../logs/create_log.ts";
import type { RouteTable } from "../routes/state.ts";
import type { KeyedRecord } from "../store/state.ts";
import type { ShiftOrder } from "../traffic_shift/state.ts";
import type { Platform } from "./platform_port.ts";

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
    newest.set(record.key, { record, end: readEnd });
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

  return {
    applyRecords(records, end, isComplete) {
      // Peers and the store may both send records that were read before.
      if (end <= readEnd) return;
      const isNew = readEnd >= 0;
      readEnd = end;
      // Of many changes of a key only the newest valid record is used.
      const decoded = new Set<string>();
      for (const record of records.toReversed()) {
        if (decoded.has(record.key) || !decode(record, isNew)) continue;
        decoded.add(record.key);
      }
      if (!isComplete) return;
      completeEnd = end;
      // The removal is kept like a record of it, for peers.
      for (const key of findRemovedKeys(evacuationKeys, records)) {
        decode({ key, value: undefined }, isNew);
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
