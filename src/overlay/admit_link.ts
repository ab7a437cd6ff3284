/**
 * Limits how fast a node takes connections of peers.
 * @module
 */
import type { MonotonicMs } from "../core/types.ts";

/** Connections that may come in one burst. */
export const linkBurst = 40;

/** Connections a second after a burst. */
export const linksPerSecond = 20;

/** A token bucket. */
export interface LinkTokens {
  left: number;
  at: MonotonicMs;
}

/** Creates a full bucket. */
export function createLinkTokens(now: MonotonicMs): LinkTokens {
  return { left: linkBurst, at: now };
}

/** Takes a token. False when the peer has to come back later. */
export function admitLink(tokens: LinkTokens, now: MonotonicMs): boolean {
  const earned = (now - tokens.at) / 1_000 * linksPerSecond;
  tokens.left = Math.min(linkBurst, tokens.left + earned);
  tokens.at = now;
  if (tokens.left < 1) return false;
  tokens.left--;
  return true;
}
