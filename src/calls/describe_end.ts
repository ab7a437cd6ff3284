/**
 * Describes why an attempt ended, for logs and callers.
 * @module
 */
import { exhausted } from "../core/exhausted.ts";
import type { AttemptEnd } from "./decide_next.ts";

export function describeEnd(end: AttemptEnd): string {
  switch (end.type) {
    case "refused":
      return end.refusal.reason;
    case "failed":
      return end.failure.reason;
    case "answered":
      return `the endpoint answered ${end.head.status}`;
    default:
      return exhausted(end);
  }
}
