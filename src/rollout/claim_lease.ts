/**
 * Claims the lease of a rollout that nobody leads.
 * @module
 */
import { RecordKind } from "../config_log/messages.ts";
import { leaseOf } from "../config_log/rollout_rows.ts";
import type { Lease } from "../config_log/state.ts";
import type {
  RolloutEffect,
  RolloutState,
  TickedEvent,
  Track,
} from "./state.ts";

/** Silence of a holder after which its lease is claimed. */
const silenceMs = 5_000;
/** The silence doubles with each term, up to this many times. */
const maxDoublings = 4;
/** Spread of the claims of rivals. */
const firstSpreadMs = 500;
const spreadMs = 2_000;
/** Extra wait of each reader after the preferred one. */
const rankMs = 1_500;

/**
 * Returns a claim when the holder has been silent. Silence is what this node
 * observed by its own monotonic clock; the fold alone decides who leads.
 */
export function claimLease(
  state: RolloutState,
  track: Track,
  event: TickedEvent,
  lease: Lease | undefined,
): readonly RolloutEffect[] {
  const rank = event.readers.findIndex((reader) => reader.id === state.self);
  if (rank < 0 || track.isClaimSent) return [];
  if (!isSilent(state, track, event, lease)) {
    delete track.claimAt;
    return [];
  }
  const spread = lease === undefined ? firstSpreadMs : spreadMs;
  track.claimAt ??= event.now + rank * rankMs + event.random * spread;
  if (event.now < track.claimAt) return [];
  delete track.claimAt;
  track.isClaimSent = true;
  track.claimedTerm = (lease?.term ?? 0) + 1;
  const rollout = track.rollout.id;
  const record = {
    kind: RecordKind.Lease,
    name: leaseOf(rollout),
    holder: state.self,
    term: track.claimedTerm,
  };
  return [{ type: "append", rollout, record }];
}

function isSilent(
  state: RolloutState,
  track: Track,
  event: TickedEvent,
  lease: Lease | undefined,
): boolean {
  if (lease === undefined) return true;
  // A lease of this address that this process did not claim is of its past.
  if (lease.holder === state.self) return true;
  const doublings = Math.min(lease.term - 1, maxDoublings);
  return event.now - track.signAt > silenceMs * 2 ** doublings;
}

/** Notes signs of life of the holder that the log itself shows. */
export function recordLogHeartbeats(
  track: Track,
  event: TickedEvent,
  lease: Lease | undefined,
) {
  const term = lease?.term ?? 0;
  const steps = stepMark(track.rollout.steps);
  if (term === track.signTerm && steps === track.signSteps) return;
  track.signTerm = term;
  track.signSteps = steps;
  track.signAt = event.now;
}

/** Offset of a rollout's newest step, 0 before the first. */
export function stepMark(steps: readonly { readonly offset: number }[]) {
  return steps.at(-1)?.offset ?? 0;
}
