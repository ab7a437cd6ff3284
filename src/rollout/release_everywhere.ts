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
  Track,
} from "./state.ts";

/** Options of `releaseEverywhere`. */
export interface ReleaseEverywhereOptions {
  readonly state: RolloutState;
  readonly track: Track;
  readonly lead: Leadership;
  readonly now: MonotonicMs;
  /** True when the fault was neither confirmed nor attributed elsewhere. */
  readonly isProbed: boolean;
}

/** Ends the hold here, and orders all readers to end theirs. */
export function releaseEverywhere(
  opts: ReleaseEverywhereOptions,
): readonly RolloutEffect[] {
  const { state, track, lead, now, isProbed } = opts;
  // The next fault must not wait for the interval between two orders.
  lead.holdSentAt = -Infinity;
  const rollout = track.rollout.id;
  const { term } = lead;
  const message = { type: "rollout/release", rollout, term, isProbed } as const;
  const sends = findReportingReaders(state, lead).map((to) => ({
    type: "send",
    to,
    message,
  } as const));
  return [
    ...releaseHold(state, track, now, isProbed),
    { type: "tell-domain", message },
    ...sends,
  ];
}
