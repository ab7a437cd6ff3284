/**
 * Formats the changes of an edit for `apply --dry-run`.
 * @module
 */
import type { EntryChange } from "../config_log/messages.ts";
import { type RevisedLists } from "../lists/plan_edit.ts";
import { keyOfUse, ListName } from "../lists/types.ts";

/** Options of `formatChanges`. */
export interface FormatChangesOptions {
  readonly current: RevisedLists;
  readonly changes: readonly EntryChange[];
}

type Fields = Readonly<Record<string, unknown>>;

/** Returns a line per new entry, removed entry and changed field. */
export function formatChanges(opts: FormatChangesOptions): string[] {
  const before = indexEntries(opts.current);
  return opts.changes.flatMap((change) => {
    const name = `${change.list}/${change.key}`;
    const old = before.get(name);
    if (change.value === null) return [`- ${name}`];
    if (old === undefined) {
      return [`+ ${name}: ${JSON.stringify(change.value)}`];
    }
    return formatFieldChanges(name, old, change.value as unknown as Fields);
  });
}

function indexEntries(lists: RevisedLists): Map<string, Fields> {
  const rows = new Map<string, Fields>();
  for (const { entry } of lists.customers) {
    rows.set(`${ListName.Customers}/${entry.customer}`, { ...entry });
  }
  for (const { entry } of lists.uses) {
    const key = keyOfUse(entry.plan, entry.service);
    rows.set(`${ListName.Uses}/${key}`, { ...entry });
  }
  return rows;
}

function formatFieldChanges(
  name: string,
  old: Fields,
  value: Fields,
): string[] {
  const fields = [...new Set([...Object.keys(old), ...Object.keys(value)])];
  return fields.flatMap((field) => {
    const from = JSON.stringify(old[field]) ?? "none";
    const to = JSON.stringify(value[field]) ?? "none";
    return from === to ? [] : [`~ ${name}: ${field}: ${from} -> ${to}`];
  });
}
