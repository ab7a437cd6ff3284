/**
 * Finds the changes that turn the lists in force into the requested ones.
 * @module
 */
import { isDeepStrictEqual } from "node:util";
import type { EntryChange } from "../config_log/messages.ts";
import type { Lists } from "./parse_lists.ts";
import {
  type CustomerEntry,
  keyOfUse,
  ListName,
  type UseEntry,
} from "./types.ts";

/** An entry in force with its revision. */
export interface Revised<T> {
  readonly revision: number;
  readonly entry: T;
}

/** The lists in force with their revisions, as `lagoonctl` reads them. */
export interface RevisedLists {
  readonly customers: readonly Revised<CustomerEntry>[];
  readonly uses: readonly Revised<UseEntry>[];
}

/** Options of `planEdit`. */
export interface PlanEditOptions {
  readonly current: RevisedLists;
  readonly requested: Lists;
}

/** Returns the changes. There are none if the lists are equal. */
export function planEdit(opts: PlanEditOptions): EntryChange[] {
  const { current, requested } = opts;
  const changes: EntryChange[] = [];
  if (requested.customers !== undefined) {
    const rows = indexBy(current.customers, (entry) => entry.customer);
    const requestedByKey = new Map(
      requested.customers.map((one) => [one.customer, one]),
    );
    for (const diff of diffEntries(rows, requestedByKey)) {
      changes.push({ list: ListName.Customers, ...diff });
    }
  }
  if (requested.uses !== undefined) {
    const keyOf = (entry: UseEntry) => keyOfUse(entry.plan, entry.service);
    const rows = indexBy(current.uses, keyOf);
    const requestedByKey = new Map(
      requested.uses.map((one) => [keyOf(one), one]),
    );
    for (const diff of diffEntries(rows, requestedByKey)) {
      changes.push({ list: ListName.Uses, ...diff });
    }
  }
  return changes;
}

function indexBy<T>(
  rows: readonly Revised<T>[],
  keyOf: (entry: T) => string,
): Map<string, Revised<T>> {
  return new Map(rows.map((row) => [keyOf(row.entry), row]));
}

function* diffEntries<T>(
  rows: ReadonlyMap<string, Revised<T>>,
  requestedByKey: ReadonlyMap<string, T>,
): Generator<{ key: string; expected: number; value: T | null }> {
  for (const [key, value] of requestedByKey) {
    const row = rows.get(key);
    if (row !== undefined && isDeepStrictEqual(row.entry, value)) continue;
    yield { key, expected: row?.revision ?? 0, value };
  }
  for (const [key, row] of rows) {
    if (requestedByKey.has(key)) continue;
    yield { key, expected: row.revision, value: null };
  }
}
