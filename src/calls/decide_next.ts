/**
 * Decides what follows the end of an attempt.
 * @module
 */
import { exhausted } from "../core/exhausted.ts";
import { RefusalReason } from "../queue/state.ts";
import {
  type AnswerHead,
  type Failure,
  LOWEST_SERVER_ERROR,
  type Refusal,
  RefusedBy,
} from "./state.ts";

/** Homes that one call is offered to, at most. Offers cost milliseconds. */
const maxOffers = 6;

/**
 * Homes that may refuse a call because its answer would be late, before a late
 * answer is asked for. What homes report is a few milliseconds old at most, so
 * further ones would refuse it too.
 */
const strictOffers = 2;

/** The same where the first home was expected to be full. */
const strictOffersWhenFull = 1;

/** An idempotent call is not tried again with less time left, in ms. */
const leastRetryMs = 20;

/** How an attempt ended, before anything was told to the caller. */
export type AttemptEnd =
  | { readonly type: "refused"; readonly refusal: Refusal }
  | { readonly type: "failed"; readonly failure: Failure }
  | { readonly type: "answered"; readonly head: AnswerHead };

/** Options of `decideNext`. */
export interface DecideNextOptions {
  readonly end: AttemptEnd;
  readonly isIdempotent: boolean;
  /** Homes that the call was offered to. */
  readonly offers: number;
  /** Endpoints that got the call. */
  readonly arrivals: number;
  readonly maxArrivals: number;
  /** Some attempt may have run the call, or is still running it. */
  readonly mayHaveRun: boolean;
  readonly leftMs: number;
  /** The first home was the cheapest and expected to be full. */
  readonly wasFull: boolean;
  /** Every byte of the body is still here. */
  readonly canResend: boolean;
  /** Takes a repeat out of the retry budget. Asked last. */
  readonly spend: (hasRun: boolean) => boolean;
}

export type NextStep =
  | { readonly type: "offer"; readonly mayBeLate: boolean }
  | { readonly type: "pass-on" }
  | { readonly type: "give-up"; readonly status: 502 | 503 | 504 };

/**
 * Decides whether a call is offered to another home.
 *
 * A refusal by a home costs nothing and may always be followed by an offer
 * elsewhere. What an endpoint has received counts against the route's attempts
 * and the shared budget, and only an idempotent call is repeated after it may
 * have run.
 */
export function decideNext(opts: DecideNextOptions): NextStep {
  const { end } = opts;
  switch (end.type) {
    case "refused":
      return afterRefusal(opts, end.refusal);
    case "failed":
      if (mayRepeat(opts)) return { type: "offer", mayBeLate: true };
      return { type: "give-up", status: end.failure.isTimeout ? 504 : 502 };
    case "answered": {
      const isFailed = end.head.status >= LOWEST_SERVER_ERROR;
      return isFailed && mayRepeat(opts)
        ? { type: "offer", mayBeLate: true }
        : { type: "pass-on" };
    }
    default:
      return exhausted(end);
  }
}

function afterRefusal(opts: DecideNextOptions, refusal: Refusal): NextStep {
  const isLate = refusal.reason === RefusalReason.Late;
  const mayOffer = !isFull(opts, refusal) && opts.canResend &&
    opts.leftMs > 0 &&
    opts.offers < maxOffers && mayArriveAgain(opts, refusal);
  const strict = opts.wasFull ? strictOffersWhenFull : strictOffers;
  const mayBeLate = !isLate || opts.offers >= strict;
  if (mayOffer) return { type: "offer", mayBeLate };
  return { type: "give-up", status: opts.mayHaveRun ? 502 : 503 };
}

/** Whether no other home is expected to have room either. */
function isFull(opts: DecideNextOptions, refusal: Refusal): boolean {
  switch (refusal.reason) {
    case RefusalReason.Crowded:
      return true;
    case RefusalReason.NoTime:
      return opts.offers > strictOffers;
    default:
      return false;
  }
}

function mayArriveAgain(opts: DecideNextOptions, refusal: Refusal): boolean {
  if (opts.arrivals >= opts.maxArrivals) return false;
  // The budget is spent on a second arrival, whoever refused the first.
  return refusal.by !== RefusedBy.Endpoint || opts.spend(opts.mayHaveRun);
}

function mayRepeat(opts: DecideNextOptions): boolean {
  return opts.isIdempotent && opts.canResend && opts.leftMs > leastRetryMs &&
    opts.offers < maxOffers && opts.arrivals < opts.maxArrivals &&
    opts.spend(true);
}
