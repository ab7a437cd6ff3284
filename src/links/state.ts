/**
 * State by which an unresponsive link is detected.
 * @module
 */
import type { MonotonicMs } from "../core/types.ts";

/**
 * Bytes that may wait to be read by the peer, before the link is closed. Answers
 * of running calls count, and the largest take some megabytes.
 */
export const MAX_UNSENT_BYTES = 33_554_432;

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
