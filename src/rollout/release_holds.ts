/**
 * Ends holds that the fleet's evidence does not confirm.
 * @module
 */
import type { MonotonicMs, NodeId } from "../core/types.ts";
import { releaseHold } from "./keep_hold.ts";
import type {
  Leadership,
  RolloutEffect,
  RolloutState,
  ToldHold,
  Track,
} from "./state.ts";

/** Time for the evidence to confirm a hold; doubles with each release. */
const confirmMs = 8_000;
const maxDoublings = 4;

/** Holds kept. Further ones are not released by this holder. */
const maxOrigins = 256;

/** Notes a hold that a reader told of. A repeat of an open one is nothing. */
export function noteToldHold(
  lead: Leadership,
  from: NodeId,
  origin: NodeId,
  now: MonotonicMs,
) {
  const key = `${from} ${origin}`;
  const told = lead.holds.get(key);
  if (told?.isOpen === true) return;
  if (told === undefined && lead.holds.size >= maxOrigins) return;
  const releases = told?.releases ?? 0;
  const hold: ToldHold = { from, origin, at: now, releases, isOpen: true };
  lead.holds.set(key, hold);
}

/** Releases holds that were told long enough ago. */
export function releaseHolds(
  state: RolloutState,
  track: Track,
  lead: Leadership,
  now: MonotonicMs,
): readonly RolloutEffect[] {
  if (track.hold?.origin === state.self) {
    noteToldHold(lead, state.self, state.self, now);
  }
  const message = {
    type: "rollout/release",
    rollout: track.rollout.id,
    isProbed: true,
  } as const;
  const effects: RolloutEffect[] = [];
  for (const hold of lead.holds.values()) {
    const waitMs = confirmMs * 2 ** Math.min(hold.releases, maxDoublings);
    if (!hold.isOpen || now - hold.at < waitMs) continue;
    hold.isOpen = false;
    hold.releases++;
    if (hold.from === state.self) {
      effects.push({ type: "tell-domain", message });
      effects.push(...releaseHold(state, track, now, true));
    } else {
      effects.push({ type: "send", to: hold.from, message });
    }
  }
  return effects;
}
