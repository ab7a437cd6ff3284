/**
 * Detects links whose peer has stopped responding.
 * @module
 */
import type { MonotonicMs } from "../core/types.ts";
import type { LinkCheck, LinkHealth } from "./state.ts";

/**
 * Time without a message after which a link with calls in flight is pinged, in
 * milliseconds.
 */
const BUSY_LINK_PING_MS = 300;

/** Time after which a ping without an answer ends the link, in milliseconds. */
const PONG_TIMEOUT_MS = 800;

/** Number of event loop turns that a lagging peer needs to answer a ping. */
const ANSWER_TURNS = 2;

/** Limit on the extra time for a lagging peer to answer, in milliseconds. */
const MAX_TURNS_MS = 1_500;

/**
 * Multiple of `idleMs` without a received message after which a link is pinged
 * in any case, even if the nodes exchange pings over the link that the peer
 * opened.
 */
const MAX_IDLE_PERIODS = 4;

/** Options of `checkLink`. */
export interface CheckLinkOptions {
  readonly hasCalls: boolean;
  /** Time between pings of an idle pair of nodes, in milliseconds. */
  readonly idleMs: number;
  /** When the nodes last exchanged a ping, over either node's link. */
  readonly exchangedAt: MonotonicMs;
  /** How long an answer may have waited to be read, in milliseconds. */
  readonly lagMs: number;
  readonly now: MonotonicMs;
}

/**
 * Decides whether to ping a link or to close it. A connection can fail without
 * a reset, and calls on it would then wait until their deadlines, so a link
 * with calls is pinged sooner.
 */
export function checkLink(
  health: LinkHealth,
  opts: CheckLinkOptions,
): LinkCheck {
  const { now, idleMs } = opts;
  if (health.pingedAt > health.receivedAt) {
    // An overloaded peer gets more time: retried calls and new links would add
    // to its load.
    const turnsMs = Math.min(MAX_TURNS_MS, health.peerLagMs * ANSWER_TURNS);
    return now - health.pingedAt > PONG_TIMEOUT_MS + opts.lagMs + turnsMs
      ? { type: "give-up" }
      : { type: "wait" };
  }
  const sinceReceivedMs = now - health.receivedAt;
  // Any message shows that the peer answers.
  const sinceExchangeMs = now -
    Math.max(health.lastPingAt, health.receivedAt, opts.exchangedAt);
  const isDue = sinceExchangeMs >= idleMs ||
    sinceReceivedMs >= idleMs * MAX_IDLE_PERIODS ||
    (opts.hasCalls && sinceReceivedMs >= BUSY_LINK_PING_MS);
  return isDue ? { type: "ping" } : { type: "wait" };
}
