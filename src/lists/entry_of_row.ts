/**
 * Converts a row of the folded state to the entry that the operator wrote.
 * @module
 */
import type { UseRow } from "../config_log/state.ts";
import type { UseEntry } from "./types.ts";

/** Returns the use entry of a row, without the fields that the fold adds. */
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
