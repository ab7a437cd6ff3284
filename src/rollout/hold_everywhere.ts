/**
 * Orders every failure domain to hold a version.
 * @module
 */
import type { MonotonicMs } from "../core/types.ts";
import { beginHold } from "./keep_hold.ts";
import { readersOf } from "./readers_of.ts";
import type {
  Leadership,
  RolloutEffect,
  RolloutState,
  Track,
} from "./state.ts";

/** Gap between two orders to hold. */
const holdGapMs = 500;

/** Options of `holdEverywhere`. */
export interface HoldEverywhereOptions {
  readonly state: RolloutState;
  readonly track: Track;
  readonly lead: Leadership;
  readonly reason: string;
  readonly now: MonotonicMs;
}

/** Holds here, and tells all readers to, again and again. */
export function holdEverywhere(
  opts: HoldEverywhereOptions,
): readonly RolloutEffect[] {
  const { state, track, lead, reason, now } = opts;
  const origin = state.self;
  const begun = beginHold({ state, track, origin, reason, now });
  if (now - lead.heldAt < holdGapMs) return begun;
  lead.heldAt = now;
  const rollout = track.rollout.id;
  const message = { type: "rollout/hold", rollout, origin, reason } as const;
  const sends = readersOf(state, lead).map((to) => ({
    type: "send",
    to,
    message,
  } as const));
  return [...begun, { type: "tell-domain", message }, ...sends];
}
