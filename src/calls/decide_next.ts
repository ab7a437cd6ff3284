/**
 * Decides what to do with a call when an attempt to run it at a home node ends.
 * A home node is the node on an endpoint's VM, which alone connects to the
 * endpoint.
 * @module
 */
import { exhausted } from "../core/exhausted.ts";
import { RefusalReason } from "../queue/state.ts";
import { lateWaitShare } from "../shedding/late_wait_share.ts";
import { mayTryElsewhere } from "../shedding/may_try_elsewhere.ts";
import { isLongDeadline } from "./deadline_share.ts";
import {
  type AnswerHead,
  type Failure,
  LOWEST_SERVER_ERROR,
  type Refusal,
  RefusedBy,
} from "./state.ts";

/**
 * Maximum number of home nodes that one call is sent to. Each attempt costs
 * milliseconds.
 */
const MAX_HOME_ATTEMPTS = 6;

/**
 * Number of attempts after which an answer past the latency objective is
 * accepted. Until then a home refuses a call that it would answer late. Reports
 * of homes are a few milliseconds old at most, so further homes would refuse
 * the call too.
 */
const STRICT_ATTEMPTS = 2;

/**
 * Replaces `STRICT_ATTEMPTS` if the first home was expected to be full. That
 * home had the least expected cost, so other homes are hardly better.
 */
const STRICT_ATTEMPTS_WHEN_FULL = 1;

/**
 * Minimum time left before the deadline for a retry after a failed run, in
 * milliseconds.
 */
const MIN_RETRY_LEFT_MS = 20;

/** How an attempt ended, before anything was sent to the caller. */
export type AttemptEnd =
  | { readonly type: "refused"; readonly refusal: Refusal }
  | { readonly type: "failed"; readonly failure: Failure }
  | { readonly type: "answered"; readonly head: AnswerHead };

/** Options of `decideNext`. */
export interface DecideNextOptions {
  readonly end: AttemptEnd;
  readonly isIdempotent: boolean;
  /** Number of homes that the call was sent to. */
  readonly offers: number;
  /** Number of endpoints that received the call. */
  readonly arrivals: number;
  /** Maximum number of endpoints that may receive the call (`maxAttempts`). */
  readonly maxArrivals: number;
  /** Whether an attempt may have run the call or may still be running it. */
  readonly mayHaveRun: boolean;
  /** Time left before the deadline, in milliseconds. */
  readonly leftMs: number;
  /**
   * Whether the first home, which had the least expected cost, was expected to
   * be full.
   */
  readonly wasFull: boolean;
  /** See `OfferedCall.deadlineRatio`. */
  readonly deadlineRatio: number | undefined;
  /** Whether the complete body is still buffered, so that it can be resent. */
  readonly canResend: boolean;
  /**
   * Spends a retry of the retry budget, and returns false if the budget does
   * not allow it. Called only when all other conditions allow the retry.
   */
  readonly spend: (hasRun: boolean) => boolean;
}

export type NextStep =
  /** Send the call to another home. */
  | {
    readonly type: "attempt";
    readonly mayBeLate: boolean;
    /** Whether only homes that are expected to have a slot in time qualify. */
    readonly onlyFree: boolean;
  }
  /** Forward the answer to the caller. */
  | { readonly type: "forward" }
  | { readonly type: "give-up"; readonly status: 401 | 502 | 503 | 504 };

const LATE_ATTEMPT = {
  type: "attempt",
  mayBeLate: true,
  onlyFree: false,
} as const;

/**
 * Decides whether a call is sent to another home.
 *
 * A refusal by a home spends no retry budget, and another home may be tried.
 * Each further endpoint that receives the call counts against the route's
 * attempts and the retry budget. After a possible run only an idempotent call
 * is retried.
 *
 * A call whose caller waits long is not sent from home to home until one answers
 * it in time: after one refusal as late, the home with the least cost queues it,
 * possibly the one that refused it. Only if a queue takes no more calls is it
 * sent on to a home that is expected to have a slot, if there is one.
 */
export function decideNext(opts: DecideNextOptions): NextStep {
  const { end } = opts;
  switch (end.type) {
    case "refused":
      return afterRefusal(opts, end.refusal);
    case "failed":
      if (mayRetry(opts)) return LATE_ATTEMPT;
      return { type: "give-up", status: end.failure.isTimeout ? 504 : 502 };
    case "answered": {
      const isFailed = end.head.status >= LOWEST_SERVER_ERROR;
      return isFailed && mayRetry(opts) ? LATE_ATTEMPT : { type: "forward" };
    }
    default:
      return exhausted(end);
  }
}

function afterRefusal(opts: DecideNextOptions, refusal: Refusal): NextStep {
  const isLate = refusal.reason === RefusalReason.Late;
  const isRevoked = refusal.reason === RefusalReason.Revoked;
  const mayAttempt = refusal.reason !== RefusalReason.Quarantined &&
    !isRevoked && mayFindRoom(opts, refusal) && opts.canResend &&
    opts.leftMs > 0 &&
    opts.offers < MAX_HOME_ATTEMPTS && mayReachAnotherEndpoint(opts, refusal);
  const strict = opts.wasFull || isLongDeadline(opts.deadlineRatio)
    ? STRICT_ATTEMPTS_WHEN_FULL
    : STRICT_ATTEMPTS;
  const mayBeLate = !isLate || opts.offers >= strict;
  const onlyFree = refusal.reason === RefusalReason.QueueFull;
  if (mayAttempt) return { type: "attempt", mayBeLate, onlyFree };
  if (opts.mayHaveRun) return { type: "give-up", status: 502 };
  return { type: "give-up", status: isRevoked ? 401 : 503 };
}

function mayFindRoom(opts: DecideNextOptions, refusal: Refusal): boolean {
  return mayTryElsewhere({
    reason: refusal.reason,
    offers: opts.offers,
    lateShare: lateWaitShare(opts.deadlineRatio),
  });
}

function mayReachAnotherEndpoint(
  opts: DecideNextOptions,
  refusal: Refusal,
): boolean {
  if (opts.arrivals >= opts.maxArrivals) return false;
  // An endpoint that refuses the call has received it, so the next endpoint
  // costs a retry. A home or link that refuses it has kept it from the
  // endpoint.
  return refusal.by !== RefusedBy.Endpoint || opts.spend(opts.mayHaveRun);
}

function mayRetry(opts: DecideNextOptions): boolean {
  return opts.isIdempotent && opts.canResend &&
    opts.leftMs > MIN_RETRY_LEFT_MS &&
    opts.offers < MAX_HOME_ATTEMPTS && opts.arrivals < opts.maxArrivals &&
    opts.spend(true);
}
