/**
 * Says how a call ended after all its attempts.
 * @module
 */
import type { CallEnd } from "./messages.ts";

/** Whether an upstream may have run the call in this attempt. */
export function mayHaveRun(end: CallEnd): boolean {
  return end.type !== "not-run";
}

/**
 * A refusal of the last attempt is not run for the whole call only when no
 * earlier attempt may have run.
 */
export function concludeCall(last: CallEnd, hasRunBefore: boolean): CallEnd {
  if (last.type !== "not-run" || !hasRunBefore) return last;
  const reason = `An earlier attempt ended unknown, then: ${last.reason}`;
  return { type: "unknown", reason, isLate: false };
}
