/**
 * Decides whether a call is retried at another home node, the node on an
 * endpoint's VM through which all calls to the endpoint go.
 * @module
 */
import { exhausted } from "../core/exhausted.ts";
import type { CallEnd } from "./messages.ts";
import {
  MAX_ATTEMPTS,
  MAX_RETRY_BUDGET,
  RETRIES_PER_SERVED_CALL,
  type RetryCall,
  type RetryEffect,
  type RetryEvent,
  type RetryState,
} from "./state.ts";

const LOWEST_SERVER_ERROR = 500;

/**
 * Applies the end of an attempt, or the event that an attempt is overdue, and
 * returns whether to retry the call.
 */
export function decideRetry(
  state: RetryState,
  event: RetryEvent,
): RetryEffect {
  switch (event.type) {
    case "ended":
      earnRetries(state, event.end);
      return mayRunAgain(event.end, event.call)
        ? spendRetry(state, event.call)
        : { type: "keep" };
    case "overdue":
      return event.call.isRepeatable
        ? spendRetry(state, event.call)
        : { type: "keep" };
    default:
      return exhausted(event);
  }
}

function earnRetries(state: RetryState, end: CallEnd) {
  if (end.type !== "answered" || end.status >= LOWEST_SERVER_ERROR) return;
  state.budget = Math.min(
    MAX_RETRY_BUDGET,
    state.budget + RETRIES_PER_SERVED_CALL,
  );
}

/**
 * Returns whether the call may be retried after this end of an attempt. A
 * non-repeatable call is retried only if the attempt did not run.
 */
function mayRunAgain(end: CallEnd, call: RetryCall): boolean {
  switch (end.type) {
    case "not-run":
      return end.status === 503;
    case "unknown":
      return call.isRepeatable && !end.isLate;
    case "answered":
    case "cut":
    case "cancelled":
    case "given-up":
      return false;
    default:
      return exhausted(end);
  }
}

function spendRetry(state: RetryState, call: RetryCall): RetryEffect {
  const isAllowed = call.attempts < MAX_ATTEMPTS && call.canResend &&
    call.leftMs > 0 && state.budget >= 1;
  if (!isAllowed) return { type: "keep" };
  state.budget--;
  return { type: "retry" };
}
