/**
 * Keeps what operators wrote, whichever way it came.
 * @module
 */
import type { Offset } from "../core/types.ts";
import { formatError } from "../core/errors.ts";
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
  /** `isNew` is false for what was there before this node first read. */
  readonly onOrder: (order: ShiftOrder, isNew: boolean) => void;
}

export interface OperatorReader {
  /** Takes records from the store or from a peer. Older ones are dropped. */
  take(records: readonly KeyedRecord[], end: Offset): void;
  /** The newest record of each key that came after an offset, for peers. */
  since(from: Offset): readonly KeyedRecord[];
  end(): Offset;
}

interface Told {
  readonly from: Offset;
  readonly end: Offset;
  readonly records: readonly KeyedRecord[];
}

/** Creates a reader that has read nothing. */
export function createOperatorReader(
  opts: CreateOperatorReaderOptions,
): OperatorReader {
  /** `end` is how far was read when the record came. */
  const newest = new Map<string, { record: KeyedRecord; end: Offset }>();
  let readEnd: Offset = -1;
  /** What was last told: many peers ask for the same. */
  let told: Told = { from: -1, end: -1, records: [] };

  /** False when the record can't be used, and an earlier one counts. */
  function decode(record: KeyedRecord, isNew: boolean): boolean {
    const decoded = opts.platform.decodeOperatorRecord(record);
    if (decoded.isErr()) {
      const reason = formatError(decoded.error);
      opts.log.write("config", LogLevel.Error, "record refused", { reason });
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
      case "other":
        return true;
    }
  }

  return {
    take(records, end) {
      // Peers and the store may both bring what was read before.
      if (end <= readEnd) return;
      const isNew = readEnd >= 0;
      readEnd = end;
      // A storm of changes is decoded once for each key, at its end.
      const decoded = new Set<string>();
      for (const record of records.toReversed()) {
        if (decoded.has(record.key) || !decode(record, isNew)) continue;
        decoded.add(record.key);
      }
    },
    since(from) {
      if (told.from === from && told.end === readEnd) return told.records;
      const records = [...newest.values()].flatMap(({ record, end }) =>
        end > from ? [record] : []
      );
      told = { from, end: readEnd, records };
      return records;
    },
    end: () => readEnd,
  };
}
