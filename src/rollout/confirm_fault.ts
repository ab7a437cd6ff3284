/**
 * Decides whether the new version is the origin of a fault.
 * @module
 */
import { exhausted } from "../core/exhausted.ts";
import type { MonotonicMs } from "../core/types.ts";
import {
  ALL_ROUTES,
  findSlowBucket,
  sumOldBuckets,
} from "./analyze_evidence.ts";
import { Side } from "./messages.ts";
import { Measure } from "./messages.ts";
import { type Alert, type Counts, type Fault } from "./state.ts";

/** Number of further old-version calls that decide the origin of a fault. */
const MIN_OLD_CALLS = 40;
/** Time to wait for that many calls before fewer of them decide the origin. */
const MAX_WAIT_MS = 4_000;
/** Minimum rate of bad old-version calls for a fault to count as shared. */
const MIN_SHARED_RATE = 0.05;
/**
 * While the evidence still shows the fault, it is shared only if the old
 * version's rate is also at least this share of the new version's. The share is
 * higher for slowness, since up to one in ten of a healthy old version's
 * answers count as slow.
 */
const SHARED_RATE_PARTS: Readonly<Record<Measure, number>> = {
  [Measure.Errors]: 0.1,
  [Measure.Slowness]: 0.25,
  [Measure.Overdue]: 0.1,
};

/** Origin of a fault, from the comparison with the old version. */
export const FaultOrigin = {
  NewVersion: "new-version",
  Undecided: "undecided",
  Shared: "shared",
} as const;
export type FaultOrigin = typeof FaultOrigin[keyof typeof FaultOrigin];

/** Starts to compare a fault with the next calls of the old version. */
export function raiseAlert(fault: Fault, now: MonotonicMs): Alert {
  const { calls, bad } = sumOldCalls(fault);
  return { at: now, fault, oldCalls: calls, oldBad: bad };
}

/** Options of `confirmFault`. */
export interface ConfirmFaultOptions {
  readonly alert: Alert;
  /** False when the evidence, with later calls, no longer shows the fault. */
  readonly isStillShown: boolean;
  readonly now: MonotonicMs;
}

/**
 * Finds the origin of a fault. An external fault affects both versions, but
 * with few calls it may show on the new version only. The hold sends all calls
 * to the old version meanwhile, and their outcomes decide.
 */
export function confirmFault(opts: ConfirmFaultOptions): FaultOrigin {
  const { alert, isStillShown, now } = opts;
  const { at, fault, oldCalls, oldBad } = alert;
  const { finding } = fault;
  const old = sumOldCalls(fault);
  const calls = old.calls - oldCalls;
  const bad = old.bad - oldBad;
  if (calls < MIN_OLD_CALLS && now - at < MAX_WAIT_MS) {
    return FaultOrigin.Undecided;
  }
  const rate = finding.bad / Math.max(1, finding.calls);
  // An external fault may have ended before these calls, so the old version's
  // rate in the finding counts as well.
  const oldRate = Math.max(
    bad / Math.max(1, calls),
    finding.oldBad / Math.max(1, finding.oldCalls),
  );
  const isShared = oldRate >= MIN_SHARED_RATE &&
    (!isStillShown || oldRate >= SHARED_RATE_PARTS[finding.measure] * rate);
  return isShared ? FaultOrigin.Shared : FaultOrigin.NewVersion;
}

function sumOldCalls(fault: Fault): { calls: number; bad: number } {
  const { finding, evidence } = fault;
  const slowBucket = findSlowBucket(sumOldBuckets(evidence, finding.route)) ??
    Infinity;
  const sum = { calls: 0, bad: 0 };
  for (const counts of evidence.values()) {
    const isCounted = counts.side === Side.Old &&
      (finding.route === ALL_ROUTES || finding.route === counts.route);
    if (!isCounted) continue;
    sum.calls += counts.calls;
    sum.bad += countBad(counts, finding.measure, slowBucket);
  }
  return sum;
}

function countBad(
  counts: Counts,
  measure: Measure,
  slowBucket: number,
): number {
  switch (measure) {
    case Measure.Errors:
      return counts.failures;
    case Measure.Overdue:
      return counts.overdue;
    case Measure.Slowness:
      return counts.overdue + counts.buckets.slice(slowBucket).reduce(
        (sum, count) => sum + count,
        0,
      );
    default:
      return exhausted(measure);
  }
}
