/**
 * State by which an unresponsive link is detected.
 * @module
 */
import type { MonotonicMs } from "../core/types.ts";

export interface LinkHealth {
  /** When the last message was received. */
  receivedAt: MonotonicMs;
  /**
   * When the first ping after `receivedAt` was sent. The link waits for an
   * answer only while this is later than `receivedAt`. Minus infinity before
   * any ping.
   */
  pingedAt: MonotonicMs;
  /** When the last ping was sent. */
  lastPingAt: MonotonicMs;
  /** Delay of the peer's event loop as it last reported it, in milliseconds. */
  peerLagMs: number;
}

export type LinkCheck =
  | { readonly type: "wait" }
  | { readonly type: "ping" }
  /** No answer to a ping was received: the link has to be closed. */
  | { readonly type: "give-up" };
