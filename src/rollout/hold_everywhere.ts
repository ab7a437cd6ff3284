/**
 * Orders every failure domain to hold a version.
 * @module
 */
import type { MonotonicMs } from "../core/types.ts";
import { beginHold } from "./local_hold.ts";
import { findReportingReaders } from "./find_reporting_readers.ts";
import type {
  Leadership,
  RolloutEffect,
  RolloutState,
  TrackedRollout,
} from "./state.ts";

/** Interval between two orders to hold. */
const HOLD_ORDER_INTERVAL_MS = 500;

/** Options of `holdEverywhere`. */
export interface HoldEverywhereOptions {
  readonly state: RolloutState;
  readonly tracked: TrackedRollout;
  readonly lead: Leadership;
  readonly reason: string;
  readonly now: MonotonicMs;
}

/**
 * Holds the version at this node, and orders this domain and the readers of the
 * others to hold it. Repeated calls repeat the order at most once per interval.
 */
export function holdEverywhere(
  opts: HoldEverywhereOptions,
): readonly RolloutEffect[] {
  const { state, tracked, lead, reason, now } = opts;
  const origin = state.self;
  const holdEffects = beginHold({ state, tracked, origin, reason, now });
  if (now - lead.holdSentAt < HOLD_ORDER_INTERVAL_MS) return holdEffects;
  lead.holdSentAt = now;
  const rollout = tracked.rollout.id;
  const message = { type: "rollout/hold", rollout, origin, reason } as const;
  const sends = findReportingReaders(state, lead).map((to) => ({
    type: "send",
    to,
    message,
  } as const));
  return [...holdEffects, { type: "tell-domain", message }, ...sends];
}
