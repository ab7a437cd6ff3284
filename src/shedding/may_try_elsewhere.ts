/**
 * Whether a call that a home node refused is sent to another one. A home node is
 * the node on an endpoint's VM, which alone connects to the endpoint.
 * @module
 */
import { RefusalReason } from "../queue/state.ts";
import { MIN_LATE_WAIT_SHARE } from "./late_wait_share.ts";

/**
 * Number of home nodes that are asked for room. Reports of homes are a few
 * milliseconds old at most, so further homes would refuse the call too.
 */
const MAX_HOMES_FOR_ROOM = 2;

/** Options of `mayTryElsewhere`. */
export interface MayTryElsewhereOptions {
  readonly reason: string;
  /** Number of homes that the call was sent to. */
  readonly offers: number;
  /** Fraction of its time that the call may wait once it is late. */
  readonly lateShare: number;
}

/**
 * Returns false if no other home is expected to have room either.
 *
 * The first home had the least expected cost, so a home with a full queue means
 * that the others are full. The queues of callers who wait long are bounded by
 * their deadlines, and differ more.
 */
export function mayTryElsewhere(opts: MayTryElsewhereOptions): boolean {
  switch (opts.reason) {
    case RefusalReason.QueueFull:
      return opts.lateShare > MIN_LATE_WAIT_SHARE &&
        opts.offers <= MAX_HOMES_FOR_ROOM;
    case RefusalReason.NoTime:
    case RefusalReason.Displaced:
      return opts.offers <= MAX_HOMES_FOR_ROOM;
    default:
      // The reason is an open string: another release may send one of its own.
      return true;
  }
}
