/**
 * Extends the hold of one node or failure domain to all domains, and ends it
 * when the fleet's evidence does not confirm the fault.
 *
 * Sending less traffic to a suspect version needs no agreement, so the fleet
 * does not wait for the lease holder's own analysis.
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
  type TrackedRollout,
} from "./state.ts";

/** Time for the evidence to confirm a hold; doubles with each release. */
const CONFIRMATION_TIME_MS = 8_000;
const MAX_CONFIRMATION_DOUBLINGS = 4;

/** Orders all domains to hold while a remote hold is open, then to release. */
export function maintainRemoteHolds(
  state: RolloutState,
  tracked: TrackedRollout,
  lead: Leadership,
  now: MonotonicMs,
): readonly RolloutEffect[] {
  if (tracked.hold?.phase === HoldPhase.Full && !hasOpenHold(lead)) {
    recordRemoteHold(lead, state.self, tracked.hold.origin, now);
  }
  const open = [...lead.holds.values()].filter((hold) => hold.isOpen);
  const [pending] = open.filter((hold) =>
    now - hold.at < confirmationTimeMs(hold)
  );
  if (pending !== undefined) {
    const reason = `Node ${pending.origin} saw a fault.`;
    return holdEverywhere({ state, tracked, lead, reason, now });
  }
  if (open.length === 0) return [];
  // Ends all holds together, since a hold that stays open would be extended to
  // all domains again immediately.
  for (const hold of open) {
    hold.isOpen = false;
    hold.releases++;
  }
  return releaseEverywhere({ state, tracked, lead, now, isProbed: true });
}

function confirmationTimeMs(hold: RemoteHold): number {
  return CONFIRMATION_TIME_MS *
    2 ** Math.min(hold.releases, MAX_CONFIRMATION_DOUBLINGS);
}
