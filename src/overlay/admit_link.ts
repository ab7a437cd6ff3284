/**
 * Limits the rate at which a node accepts connections from peers.
 * @module
 */
import type { MonotonicMs } from "../core/types.ts";

/** Maximum number of connections accepted in one burst. */
export const LINK_BURST = 40;

/** Connections accepted per second after a burst. */
export const LINKS_PER_SECOND = 20;

/** State of a token bucket; one token admits one connection. */
export interface LinkTokens {
  left: number;
  at: MonotonicMs;
}

/** Creates a full bucket. */
export function createLinkTokens(now: MonotonicMs): LinkTokens {
  return { left: LINK_BURST, at: now };
}

/** Takes a token. Returns false if none is left; the peer must retry later. */
export function admitLink(tokens: LinkTokens, now: MonotonicMs): boolean {
  const earned = (now - tokens.at) / 1_000 * LINKS_PER_SECOND;
  tokens.left = Math.min(LINK_BURST, tokens.left + earned);
  tokens.at = now;
  if (tokens.left < 1) return false;
  tokens.left--;
  return true;
}
