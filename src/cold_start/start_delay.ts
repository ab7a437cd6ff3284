/**
 * Tells how long the limit on starts at a cold endpoint delays a call.
 * @module
 */
import type { MonotonicMs } from "../core/types.ts";
import { type ColdStartState, WINDOW_MS } from "./state.ts";

/**
 * Limit while the terms of the service are not known yet. The lowest that terms
 * can state.
 */
const UNKNOWN_TERMS_LIMIT = 1;

/** Returns how many starts per second are allowed, or undefined if all are. */
export function limitAt(
  { limit, knowledge }: ColdStartState,
  now: MonotonicMs,
): number | undefined {
  if (limit === 0) return undefined;
  const mayBeCold = knowledge.type === "unknown" || now < knowledge.until;
  return mayBeCold ? limit ?? UNKNOWN_TERMS_LIMIT : undefined;
}

/**
 * Returns how long the limit delays a start behind `ahead` others, in
 * milliseconds.
 */
export function startDelayMs(
  state: ColdStartState,
  ahead: number,
  now: MonotonicMs,
): number {
  const limit = limitAt(state, now);
  if (limit === undefined) return 0;
  const { recentStarts, knowledge, blockedUntil } = state;
  const recent = countRecent(state, now);
  // Each start allows the one that is `limit` places later.
  const rounds = Math.floor(ahead / limit);
  const index = recent - limit + ahead % limit;
  const allowedAt = index < 0
    ? now
    : (recentStarts[recentStarts.length - recent + index] ?? now) + WINDOW_MS;
  const delayMs = Math.max(allowedAt, blockedUntil, now) - now +
    rounds * WINDOW_MS;
  return knowledge.type === "stated"
    ? Math.min(delayMs, knowledge.until - now)
    : delayMs;
}

/**
 * Returns how many calls may start now, besides those that wait. Undefined if
 * no limit applies.
 */
export function startsLeft(
  state: ColdStartState,
  waiting: number,
  now: MonotonicMs,
): number | undefined {
  const limit = limitAt(state, now);
  if (limit === undefined) return undefined;
  if (now < state.blockedUntil) return 0;
  return Math.max(0, limit - countRecent(state, now) - waiting);
}

function countRecent(
  { recentStarts }: ColdStartState,
  now: MonotonicMs,
): number {
  const first = recentStarts.findIndex((at) => now < at + WINDOW_MS);
  return first < 0 ? 0 : recentStarts.length - first;
}
