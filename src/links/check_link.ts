/**
 * Finds links that went silent.
 * @module
 */
import type { MonotonicMs } from "../core/types.ts";
import type { LinkCheck, LinkHealth } from "./state.ts";

/** A link with calls in flight is pinged after this silence. */
const busySilenceMs = 300;

/** A ping that is not answered in this time ends the link. */
const answerMs = 800;

/**
 * Turns of its loop that a peer which is behind takes for an answer, and the
 * longest time that is given for them.
 */
const answerTurns = 2;
const longestTurnsMs = 1_500;

/**
 * Periods of an idle link in which nothing came over it, though the nodes have
 * exchanged pings over the link that the peer opened.
 */
const unheardPeriods = 4;

/** Options of `checkLink`. */
export interface CheckLinkOptions {
  readonly hasCalls: boolean;
  /** Time between pings of an idle pair of nodes. */
  readonly idleMs: number;
  /** When the nodes last exchanged a ping, over the peer's link too. */
  readonly exchangedAt: MonotonicMs;
  /** How long an answer may have waited unread. */
  readonly lagMs: number;
  readonly now: MonotonicMs;
}

/**
 * A connection can go dead without a reset. Calls on it would be lost until
 * their deadlines, so a link with calls is watched more closely.
 */
export function checkLink(
  health: LinkHealth,
  opts: CheckLinkOptions,
): LinkCheck {
  const { now, idleMs } = opts;
  if (health.pingedAt > health.receivedAt) {
    // A peer that can't keep up is not helped by calls that are sent again and
    // by links that are opened anew.
    const turnsMs = Math.min(longestTurnsMs, health.peerLagMs * answerTurns);
    return now - health.pingedAt > answerMs + opts.lagMs + turnsMs
      ? { type: "give-up" }
      : { type: "wait" };
  }
  const silentMs = now - health.receivedAt;
  const sinceMs = now - Math.max(health.lastPingAt, opts.exchangedAt);
  const isDue = sinceMs >= idleMs || silentMs >= idleMs * unheardPeriods ||
    (opts.hasCalls && silentMs >= busySilenceMs);
  return isDue ? { type: "ping" } : { type: "wait" };
}
