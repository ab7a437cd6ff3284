/**
 * Orders every failure domain to end its hold on a version.
 * @module
 */
import type { MonotonicMs } from "../core/types.ts";
import { releaseHold } from "./local_hold.ts";
import { findReportingReaders } from "./find_reporting_readers.ts";
import type {
  Leadership,
  RolloutEffect,
  RolloutState,
  TrackedRollout,
} from "./state.ts";

/** Options of `releaseEverywhere`. */
export interface ReleaseEverywhereOptions {
  readonly state: RolloutState;
  readonly tracked: TrackedRollout;
  readonly lead: Leadership;
  readonly now: MonotonicMs;
  /**
   * True if the origin of the fault is unknown. Calls then go to the version
   * for short periods before the hold ends.
   */
  readonly isProbed: boolean;
}

/**
 * Ends the hold at this node, and orders this domain and the readers of the
 * others to end theirs.
 */
export function releaseEverywhere(
  opts: ReleaseEverywhereOptions,
): readonly RolloutEffect[] {
  const { state, tracked, lead, now, isProbed } = opts;
  // The next fault must not wait for the interval between two orders.
  lead.holdSentAt = -Infinity;
  const rollout = tracked.rollout.id;
  const { term } = lead;
  const message = { type: "rollout/release", rollout, term, isProbed } as const;
  const sends = findReportingReaders(state, lead).map((to) => ({
    type: "send",
    to,
    message,
  } as const));
  return [
    ...releaseHold(state, tracked, now, isProbed),
    { type: "tell-domain", message },
    ...sends,
  ];
}
