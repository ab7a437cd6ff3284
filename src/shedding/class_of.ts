/**
 * Assigns calls to urgency classes.
 * @module
 */
import { type ClassKey, MAX_URGENCY, type ShedCall } from "./state.ts";

/** The class of nested calls. */
export const NESTED_CLASS: ClassKey = -1;

/**
 * Returns the class of a call: the urgency of its account, then that of its
 * route.
 */
export function classOf(call: ShedCall): ClassKey {
  if (call.isNested) return NESTED_CLASS;
  const account = clip(call.accountUrgency ?? 0);
  return account * (MAX_URGENCY + 1) + clip(call.urgency);
}

function clip(urgency: number): number {
  return Math.min(MAX_URGENCY, Math.max(0, Math.trunc(urgency)));
}
