/**
 * Decides whether a node accepts a request or rejects it immediately.
 * @module
 */
import type { MonotonicMs } from "../core/types.ts";
import { canFinish } from "../shutdown/can_finish.ts";
import type { ShutdownState } from "../shutdown/state.ts";

/**
 * Limit on the time that a client's request may have waited unread, in
 * milliseconds. Requests above it are rejected. The wait is the lag of the
 * event loop, or the time in the queue of connections. The limit is above 100
 * ms because a process that has used up its processor allowance stands still
 * for up to 100 ms.
 */
const MAX_UNREAD_MS = 150;

/** Options of `admitRequest`. */
export interface AdmitRequestOptions {
  /** Longest time the request may have waited to be read, in milliseconds. */
  readonly waitedMs: number;
  /**
   * Whether the endpoint on this VM sent the request for a call that holds a
   * slot.
   */
  readonly isNested: boolean;
  /** Time left for the request, less the time it may have waited to be read. */
  readonly waitMs: number;
  /** Undefined while the node is not shutting down. */
  readonly stop: ShutdownState | undefined;
  readonly now: MonotonicMs;
}

/** Why a request is rejected. The texts go to callers. */
export const Rejection = {
  /** The node may exit before the request is answered. */
  Stopping: "the node is stopping",
  /** Its time was over before the node read it. */
  Unread: "its time went by unread",
  Overloaded: "the node is overloaded",
} as const;
export type Rejection = typeof Rejection[keyof typeof Rejection];

/**
 * Returns why a request is rejected before any work is done for it.
 *
 * Guards against two situations. A node that serves the clients of a whole
 * failure domain alone gets more requests than its processor can forward: they
 * would wait in the sockets until their clients have given up, and be forwarded
 * after that. A nested call is rejected only when its time is over before it is
 * read. And requests that reach a node shortly before it exits would be
 * aborted.
 */
export function admitRequest(opts: AdmitRequestOptions): Rejection | undefined {
  const { stop, waitedMs, waitMs, now } = opts;
  if (
    stop !== undefined && !canFinish(stop, { waitMs, lagMs: waitedMs, now })
  ) {
    return Rejection.Stopping;
  }
  if (waitMs <= 0) return Rejection.Unread;
  if (waitedMs > MAX_UNREAD_MS && !opts.isNested) return Rejection.Overloaded;
  return undefined;
}
