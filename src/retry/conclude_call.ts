/**
 * Derives the result of a call from all its attempts.
 * @module
 */
import type { CallEnd } from "./messages.ts";

/** Returns whether an upstream may have run the call in this attempt. */
export function mayHaveRun(end: CallEnd): boolean {
  return end.type !== "not-run";
}

/**
 * Returns the result of the call. When the last attempt was refused, the call
 * is "not run" only if no earlier attempt may have run; otherwise the result is
 * unknown.
 */
export function concludeCall(last: CallEnd, hasRunBefore: boolean): CallEnd {
  if (last.type !== "not-run" || !hasRunBefore) return last;
  const reason = `An earlier attempt ended unknown, then: ${last.reason}`;
  return { type: "unknown", reason, isLate: false };
}
