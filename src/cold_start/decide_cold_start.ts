/**
 * Decides whether the endpoint may be cold, and counts the starts of the last
 * second.
 * @module
 */
import { exhausted } from "../core/exhausted.ts";
import type { MonotonicMs } from "../core/types.ts";
import { limitAt } from "./start_delay.ts";
import {
  type ColdStartEffect,
  type ColdStartEvent,
  type ColdStartState,
  WINDOW_MS,
} from "./state.ts";

/** Applies one event and returns the effects to carry out. */
export function decideColdStart(
  state: ColdStartState,
  event: ColdStartEvent,
): readonly ColdStartEffect[] {
  switch (event.type) {
    case "terms-changed":
      return changeTerms(state, event.perSecond, event.now);
    case "stated":
      return applyStatement(state, event);
    case "invalidated":
      return invalidate(state, event);
    case "opened":
      return requestHealth(state);
    case "started":
      recordStart(state, event.now);
      return [];
    default:
      return exhausted(event);
  }
}

function changeTerms(
  state: ColdStartState,
  perSecond: number | undefined,
  now: MonotonicMs,
): readonly ColdStartEffect[] {
  const wasUnlimited = state.limit === 0;
  state.limit = Math.max(0, Math.ceil(perSecond ?? 0));
  if (state.limit === 0) state.recentStarts.length = 0;
  // Starts were not recorded while there was no limit.
  else if (wasUnlimited) state.blockedUntil = now + WINDOW_MS;
  return [];
}

function applyStatement(
  state: ColdStartState,
  event: Extract<ColdStartEvent, { type: "stated" }>,
): readonly ColdStartEffect[] {
  const { until, requestedAt, now } = event;
  const { knowledge } = state;
  const wasUnknown = knowledge.type === "unknown";
  // The endpoint may have made the statement before it became cold.
  if (wasUnknown && requestedAt < knowledge.since) return [];
  const before = limitAt(state, now);
  state.knowledge = { type: "stated", until };
  if (state.limit === undefined || state.limit === 0) return [];
  const isLimited = limitAt(state, now) !== undefined;
  if (isLimited && (before === undefined || wasUnknown)) {
    const reason = "the endpoint states that it is cold";
    return [{ type: "limit-began", reason, coldMs: Math.round(until - now) }];
  }
  return !isLimited && before !== undefined ? [{ type: "limit-ended" }] : [];
}

function invalidate(
  state: ColdStartState,
  { reason, now }: Extract<ColdStartEvent, { type: "invalidated" }>,
): readonly ColdStartEffect[] {
  const wasUnknown = state.knowledge.type === "unknown";
  state.knowledge = {
    type: "unknown",
    since: now,
    hasRequestedHealth: false,
  };
  if (wasUnknown || state.limit === undefined || state.limit === 0) return [];
  return [{ type: "limit-began", reason, coldMs: undefined }];
}

/** Requests the health path once after each invalidation. */
function requestHealth(state: ColdStartState): readonly ColdStartEffect[] {
  const { limit, knowledge } = state;
  if (limit === undefined || limit === 0) return [];
  if (knowledge.type !== "unknown" || knowledge.hasRequestedHealth) return [];
  state.knowledge = { ...knowledge, hasRequestedHealth: true };
  return [{ type: "request-health" }];
}

function recordStart(state: ColdStartState, now: MonotonicMs) {
  if (state.limit === 0) return;
  const { recentStarts } = state;
  const kept = recentStarts.findIndex((at) => now < at + WINDOW_MS);
  recentStarts.splice(0, kept < 0 ? recentStarts.length : kept);
  recentStarts.push(now);
}
