/**
 * Whether a link is alive.
 * @module
 */
import type { MonotonicMs } from "../core/types.ts";

export interface LinkHealth {
  /** Last time that anything came. */
  receivedAt: MonotonicMs;
  /** Last ping, or minus infinity once something came after it. */
  pingedAt: MonotonicMs;
  lastPingAt: MonotonicMs;
  /** How far behind the peer last said that it is, in milliseconds. */
  peerLagMs: number;
}

export type LinkCheck =
  | { readonly type: "wait" }
  | { readonly type: "ping" }
  /** Nothing came back: the connection is silent. */
  | { readonly type: "give-up" };
