/**
 * Decides whether a node takes a request at all.
 * @module
 */
import type { MonotonicMs } from "../core/types.ts";

/**
 * Time unread above which requests are turned away, in milliseconds. The lag of
 * the event loop, or the time in the queue of connections.
 * A processor allowance that is used up stops a process for 100 ms at most.
 */
const maxUnreadMs = 150;

/** Time in which a stopping node takes every request, in milliseconds. */
const takeAllMs = 3_000;

/** When a node that stops was told to, and when it has to be gone. */
export interface StopTimes {
  readonly stoppedAt: MonotonicMs;
  readonly endAt: MonotonicMs;
}

/** Options of `admitRequest`. */
export interface AdmitRequestOptions {
  /** Longest time that the request may have waited unread, in milliseconds. */
  readonly waitedMs: number;
  /** Made by the endpoint on this VM, for a call that holds a slot. */
  readonly isInner: boolean;
  /** Time that the request still has, less what it may have waited unread. */
  readonly waitMs: number;
  readonly stop: StopTimes | undefined;
  readonly now: MonotonicMs;
}

/**
 * Returns why a request is turned away before anything is done for it.
 *
 * Answers two loads. A node that is left with the clients of a whole failure
 * domain gets more requests than its processor can pass on: they would wait
 * unread until their clients are gone, and be sent on after that. The same goes
 * for a call of the endpoint that has waited for as long as it had. And clients
 * that come to a stopping node until its end would be cut.
 */
export function admitRequest(opts: AdmitRequestOptions): string | undefined {
  const { stop, now } = opts;
  if (stop !== undefined && now > stop.stoppedAt + takeAllMs) {
    if (now + opts.waitMs > stop.endAt) return "the node is stopping";
  }
  if (opts.waitMs <= 0) return "its time went by unread";
  if (opts.waitedMs > maxUnreadMs && !opts.isInner) {
    return "the node is overloaded";
  }
  return undefined;
}
