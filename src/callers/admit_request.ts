/**
 * Decides whether a node takes a request at all.
 * @module
 */
import type { MonotonicMs } from "../core/types.ts";
import { canFinish } from "../shutdown/can_finish.ts";
import type { ShutdownState } from "../shutdown/state.ts";

/**
 * Time unread above which requests are turned away, in milliseconds. The lag of
 * the event loop, or the time in the queue of connections.
 * A processor allowance that is used up stops a process for 100 ms at most.
 */
const maxUnreadMs = 150;

/** Options of `admitRequest`. */
export interface AdmitRequestOptions {
  /** Longest time that the request may have waited unread, in milliseconds. */
  readonly waitedMs: number;
  /** Made by the endpoint on this VM, for a call that holds a slot. */
  readonly isNested: boolean;
  /** Time that the request still has, less what it may have waited unread. */
  readonly waitMs: number;
  readonly stop: ShutdownState | undefined;
  readonly now: MonotonicMs;
}

export const Rejection = {
  /** The node ends before the request is sure to be answered. */
  Stopping: "the node is stopping",
  Unread: "its time went by unread",
  Overloaded: "the node is overloaded",
} as const;
export type Rejection = typeof Rejection[keyof typeof Rejection];

/**
 * Returns why a request is turned away before anything is done for it.
 *
 * Answers two loads. A node that is left with the clients of a whole failure
 * domain gets more requests than its processor can pass on: they would wait
 * unread until their clients are gone, and be sent on after that. The same goes
 * for a call of the endpoint that has waited for as long as it had. And clients
 * that come to a stopping node until its end would be cut.
 */
export function admitRequest(opts: AdmitRequestOptions): Rejection | undefined {
  const { stop, waitedMs, waitMs, now } = opts;
  if (
    stop !== undefined && !canFinish(stop, { waitMs, lagMs: waitedMs, now })
  ) {
    return Rejection.Stopping;
  }
  if (waitMs <= 0) return Rejection.Unread;
  if (waitedMs > maxUnreadMs && !opts.isNested) return Rejection.Overloaded;
  return undefined;
}
