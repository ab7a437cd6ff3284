/**
 * Logs an error in the handling of one call, which has no effect on others.
 * @module
 */
import { type Log, LogLevel } from "./create_log.ts";

export function writeCallFault(log: Log, id: string, err: unknown) {
  const reason = err instanceof Error ? err.stack : String(err);
  log.write("call", LogLevel.Error, "handling of a call failed", {
    id,
    reason,
  });
}
