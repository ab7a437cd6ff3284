/**
 * Claims the lease of a rollout that has no responsive holder.
 * @module
 */
import { RecordKind } from "../config_log/messages.ts";
import { leaseNameOf } from "../config_log/rollout_rows.ts";
import type { Lease } from "../config_log/state.ts";
import type {
  RolloutEffect,
  RolloutState,
  TickedEvent,
  TrackedRollout,
} from "./state.ts";

/** Time without a heartbeat after which a lease is claimed. */
const HOLDER_TIMEOUT_MS = 5_000;
/** The timeout doubles with each term, up to this many times. */
const MAX_TIMEOUT_DOUBLINGS = 4;
/**
 * Upper limits of the random delay of a claim, which keeps competing readers
 * apart: for the first lease of a rollout, and for later ones.
 */
const FIRST_CLAIM_SPREAD_MS = 500;
const CLAIM_SPREAD_MS = 2_000;
/** Extra delay for each position of a reader after the preferred one. */
const CLAIM_DELAY_PER_RANK_MS = 1_500;

/**
 * Appends a claim when the holder is unresponsive by this node's monotonic
 * clock. Only the fold of the log decides who leads.
 */
export function claimLease(
  state: RolloutState,
  tracked: TrackedRollout,
  event: TickedEvent,
  lease: Lease | undefined,
): readonly RolloutEffect[] {
  const rank = event.readers.findIndex((reader) => reader.id === state.self);
  if (rank < 0 || tracked.isClaimSent) return [];
  if (!isHolderUnresponsive(state, tracked, event, lease)) {
    delete tracked.claimAt;
    return [];
  }
  const spreadMs = lease === undefined
    ? FIRST_CLAIM_SPREAD_MS
    : CLAIM_SPREAD_MS;
  tracked.claimAt ??= event.now + rank * CLAIM_DELAY_PER_RANK_MS +
    event.random * spreadMs;
  if (event.now < tracked.claimAt) return [];
  delete tracked.claimAt;
  tracked.isClaimSent = true;
  tracked.claimedTerm = (lease?.term ?? 0) + 1;
  const rollout = tracked.rollout.id;
  const record = {
    kind: RecordKind.Lease,
    name: leaseNameOf(rollout),
    holder: state.self,
    term: tracked.claimedTerm,
  };
  return [{ type: "append", rollout, record }];
}

function isHolderUnresponsive(
  state: RolloutState,
  tracked: TrackedRollout,
  event: TickedEvent,
  lease: Lease | undefined,
): boolean {
  if (lease === undefined) return true;
  // This process did not claim the lease, so an earlier one at the address did.
  if (lease.holder === state.self) return true;
  const doublings = Math.min(lease.term - 1, MAX_TIMEOUT_DOUBLINGS);
  return event.now - tracked.heartbeatAt > HOLDER_TIMEOUT_MS * 2 ** doublings;
}

/** Records heartbeats that the log shows: a new term or a new step. */
export function recordLogHeartbeats(
  tracked: TrackedRollout,
  event: TickedEvent,
  lease: Lease | undefined,
) {
  const term = lease?.term ?? 0;
  const offset = lastStepOffset(tracked.rollout.steps);
  if (term === tracked.heartbeatTerm && offset === tracked.stepOffset) return;
  tracked.heartbeatTerm = term;
  tracked.stepOffset = offset;
  tracked.heartbeatAt = event.now;
}

/** Returns the log offset of a rollout's newest step, 0 before the first. */
export function lastStepOffset(steps: readonly { readonly offset: number }[]) {
  return steps.at(-1)?.offset ?? 0;
}
