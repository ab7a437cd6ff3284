/**
 * Spreads a hold that one node or failure domain began to all of them, and ends
 * it when the fleet's evidence does not confirm it.
 *
 * Less traffic to a suspect version needs no agreement, so the fleet does not
 * wait for the holder's own verdict.
 * @module
 */
import type { MonotonicMs } from "../core/types.ts";
import { hasOpenHold } from "./has_open_hold.ts";
import { holdEverywhere } from "./hold_everywhere.ts";
import { recordRemoteHold } from "./record_remote_hold.ts";
import { releaseEverywhere } from "./release_everywhere.ts";
import {
  HoldPhase,
  type Leadership,
  type RemoteHold,
  type RolloutEffect,
  type RolloutState,
  type Track,
} from "./state.ts";

/** Time for the evidence to confirm a hold; doubles with each release. */
const confirmMs = 8_000;
const maxDoublings = 4;

/** Orders all domains to hold while a told hold is open, then to release. */
export function maintainRemoteHolds(
  state: RolloutState,
  track: Track,
  lead: Leadership,
  now: MonotonicMs,
): readonly RolloutEffect[] {
  if (track.hold?.phase === HoldPhase.Full && !hasOpenHold(lead)) {
    recordRemoteHold(lead, state.self, track.hold.origin, now);
  }
  const open = [...lead.holds.values()].filter((hold) => hold.isOpen);
  const [pending] = open.filter((hold) => now - hold.at < waitMs(hold));
  if (pending !== undefined) {
    const reason = `Node ${pending.origin} saw a fault.`;
    return holdEverywhere({ state, track, lead, reason, now });
  }
  if (open.length === 0) return [];
  // All end together: one that is still told would open again at once.
  for (const hold of open) {
    hold.isOpen = false;
    hold.releases++;
  }
  return releaseEverywhere({ state, track, lead, now, isProbed: true });
}

function waitMs(hold: RemoteHold): number {
  return confirmMs * 2 ** Math.min(hold.releases, maxDoublings);
}
