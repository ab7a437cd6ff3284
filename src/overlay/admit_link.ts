/**
 * Limits how fast a node takes connections of peers.
 * @module
 */
import type { MonotonicMs } from "../core/types.ts";

/** Connections that may come in one burst. */
export const LINK_BURST = 40;

/** Connections a second after a burst. */
export const LINKS_PER_SECOND = 20;

/** A token bucket. */
export interface LinkTokens {
  left: number;
  at: MonotonicMs;
}

/** Creates a full bucket. */
export function createLinkTokens(now: MonotonicMs): LinkTokens {
  return { left: LINK_BURST, at: now };
}

/** Takes a token. False when the peer has to come back later. */
export function admitLink(tokens: LinkTokens, now: MonotonicMs): boolean {
  const earned = (now - tokens.at) / 1_000 * LINKS_PER_SECOND;
  tokens.left = Math.min(LINK_BURST, tokens.left + earned);
  tokens.at = now;
  if (tokens.left < 1) return false;
  tokens.left--;
  return true;
}
