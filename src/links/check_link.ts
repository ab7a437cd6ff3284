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

/** Options of `checkLink`. */
export interface CheckLinkOptions {
  readonly hasCalls: boolean;
  /** Time between pings of an idle link. */
  readonly idleMs: number;
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
  const { now } = opts;
  if (health.pingedAt > health.heardAt) {
    return now - health.pingedAt > answerMs
      ? { type: "give-up" }
      : { type: "wait" };
  }
  const silentMs = now - health.heardAt;
  const isDue = now - health.lastPingAt >= opts.idleMs ||
    (opts.hasCalls && silentMs >= busySilenceMs);
  return isDue ? { type: "ping" } : { type: "wait" };
}
