/**
 * Derives the result of a call from its last attempt and the ones before.
 * @module
 */
import type { CallEnd } from "./messages.ts";

/** Whether an upstream may have run the call in this attempt. */
export function mayHaveRun(end: CallEnd): boolean {
  return end.type !== "not-run";
}

/**
 * Returns the result of the whole call. A refused last attempt makes the call
 * "not run" only when no earlier attempt may have run; otherwise the result is
 * unknown.
 */
export function concludeCall(last: CallEnd, hasRunBefore: boolean): CallEnd {
  if (last.type !== "not-run" || !hasRunBefore) return last;
  const reason = `An earlier attempt ended unknown, then: ${last.reason}`;
  return { type: "unknown", reason, isLate: false };
}
