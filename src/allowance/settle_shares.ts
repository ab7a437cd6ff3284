/**
 * Finds out which shares a tier may use now.
 * @module
 */
import {
  type AllowanceState,
  type AllowanceTime,
  type Entry,
  GRANT_MS,
  type Part,
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

/** Removes expired leases and brings the shares in use up to date. */
export function settleShares(
  state: AllowanceState,
  tier: Tier,
  time: AllowanceTime,
) {
  for (const [node, { until, heardAt }] of tier.lenders) {
    const isSilent = time.steady - heardAt > FORGET_LENDER_MS;
    if (until <= time.latest && isSilent) tier.lenders.delete(node);
  }
  const wasLent = tier.lent !== undefined;
  if (tier.lent !== undefined && tier.lent.until <= time.steady) {
    tier.lent = undefined;
  }
  const isLent = tier.lent !== undefined;
  const held = heldShare(state, tier, time);
  setShare(tier.parts, isLent ? 0 : held, time);
  if (Math.abs(held - tier.held) < ROUNDING && wasLent === isLent) return;
  tier.held = held;
  for (const [account, entry] of tier.entries) {
    settleEntry(tier, account, entry, time);
  }
}

/**
 * Brings the shares in use for one account up to date. It must be called before
 * its share grows again after each event that made it smaller.
 */
export function settleEntry(
  tier: Tier,
  account: string,
  entry: Entry,
  time: AllowanceTime,
) {
  let share = tier.held;
  for (const lender of tier.lenders.values()) {
    const kept = lender.kept.get(account);
    if (kept === undefined || lender.until <= time.latest) continue;
    share -= lender.share * kept;
  }
  setShare(entry.parts, share * keptRatio(tier, entry, time), time);
}

/** Fraction of its shares that a tier has not leased out for an account. */
export function keptRatio(
  tier: Tier,
  entry: Entry,
  { steady }: AllowanceTime,
): number {
  if (tier.lent === undefined) return 1;
  entry.kept = entry.kept.filter(({ until }) => until > steady);
  if (entry.kept.length === 0) return 0;
  return Math.min(...entry.kept.map(({ ratio }) => ratio));
}

/** Sum of the shares in use. */
export function sumShares(parts: readonly Part[]): number {
  let sum = 0;
  for (const { share } of parts) sum += share;
  return sum;
}

function setShare(parts: Part[], share: number, { steady }: AllowanceTime) {
  let excess = sumShares(parts) - share;
  if (excess < -ROUNDING) {
    // Tokens that the earlier holder of a share has granted are used until then.
    parts.push({ share: -excess, since: steady + GRANT_MS });
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
