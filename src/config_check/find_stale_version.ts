/**
 * Finds out whether nodes would ignore a configuration for its version.
 * @module
 */
import type { RouteTable } from "../routes/state.ts";
import type { Finding } from "./state.ts";

/** Returns a finding if the version is not above the one in force. */
export function findStaleVersion(
  table: RouteTable,
  inForce: RouteTable,
): readonly Finding[] {
  const { version } = table;
  return version > inForce.version ? [] : [{
    type: "version-not-newer",
    path: "version",
    version,
    versionInForce: inForce.version,
  }];
}
