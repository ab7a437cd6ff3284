/**
 * Gives a row of the folded state back as the operator wrote it.
 * @module
 */
import type { UseRow } from "../config_log/state.ts";
import type { UseEntry } from "./types.ts";

/** Returns the use entry that an operator edits. */
export function entryOfRow(row: UseRow): UseEntry {
  return {
    plan: row.plan,
    service: row.service,
    version: row.asked,
    ...(row.takeOverBy === undefined ? {} : { takeOverBy: row.takeOverBy }),
    whenUnjudged: row.whenUnjudged,
    routes: row.routes,
  };
}
