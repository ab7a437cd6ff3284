/**
 * Finds out which shares a tier may use now.
 * @module
 */
import {
  type AllowanceState,
  type AllowanceTime,
  GRANT_MS,
  START_WAIT_MS,
  type Tier,
  TierName,
} from "./state.ts";

/** Differences of sums of shares below this are rounding. */
const ROUNDING = 1e-9;

/** Time after which a lender that sends nothing is removed. */
const FORGET_LENDER_MS = 3_000;

/** Share that a tier holds, whether it uses it or has leased it out. */
export function heldShare(
  state: AllowanceState,
  tier: Tier,
  time: AllowanceTime,
  /** Leases that expire sooner are not counted. */
  minLeftMs = 0,
): number {
  if (tier.name === TierName.Node) {
    return hasWaited(state, time) ? 1 / state.nodeCount : 0;
  }
  let sum = 0;
  for (const { share, until } of tier.lenders.values()) {
    if (until - time.latest > minLeftMs) sum += share;
  }
  return sum;
}

/** Whether leases of an earlier process of this node have expired. */
export function hasWaited(state: AllowanceState, time: AllowanceTime): boolean {
  return time.steady - state.startedAt >= START_WAIT_MS;
}

/** Removes expired leases and brings the tier's parts up to date. */
export function settleShares(
  state: AllowanceState,
  tier: Tier,
  time: AllowanceTime,
) {
  for (const [node, { until, heardAt }] of tier.lenders) {
    const isSilent = time.steady - heardAt > FORGET_LENDER_MS;
    if (until <= time.latest && isSilent) tier.lenders.delete(node);
  }
  if (tier.lent !== undefined && tier.lent.until <= time.steady) {
    tier.lent = undefined;
  }
  const isLent = tier.lent !== undefined;
  // Tokens that the earlier holder of a share has granted are used until then.
  const since = time.steady + GRANT_MS;
  setShare(tier, isLent ? 0 : heldShare(state, tier, time), since);
}

/** Sum of the shares in use. */
export function usedShare(tier: Tier): number {
  let sum = 0;
  for (const { share } of tier.parts) sum += share;
  return sum;
}

function setShare(tier: Tier, share: number, since: number) {
  const { parts } = tier;
  let excess = usedShare(tier) - share;
  if (excess < -ROUNDING) {
    parts.push({ share: -excess, since });
    return;
  }
  while (excess > ROUNDING) {
    const last = parts.pop();
    if (last === undefined) return;
    if (last.share > excess) {
      parts.push({ ...last, share: last.share - excess });
    }
    excess -= last.share;
  }
}
