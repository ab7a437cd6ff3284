/**
 * Decides whether the new version is to blame for a fault.
 * @module
 */
import { exhausted } from "../core/exhausted.ts";
import type { MonotonicMs } from "../core/types.ts";
import { ALL_ROUTES, oldBuckets, slowFrom } from "./analyze_evidence.ts";
import { Side } from "./messages.ts";
import { Measure } from "./messages.ts";
import { type Alert, type Counts, type Fault } from "./state.ts";

/** Calls of the old version that settle who is to blame. */
const minOldCalls = 40;
/** Time to wait for them before the version is taken back all the same. */
const maxWaitMs = 4_000;
/** The old version is to blame when it is bad at least this often. */
const minSharedRate = 0.05;
/**
 * And, while the fault stands, this part as often as the new version. Up to one
 * in ten of a healthy old version's answers count as slow.
 */
const sharedParts: Readonly<Record<Measure, number>> = {
  [Measure.Errors]: 0.1,
  [Measure.Slowness]: 0.25,
  [Measure.Overdue]: 0.1,
};

/** Outcome of comparing a fault with the old version. */
export const FaultOrigin = {
  NewVersion: "new-version",
  Undecided: "undecided",
  Shared: "shared",
} as const;
export type FaultOrigin = typeof FaultOrigin[keyof typeof FaultOrigin];

/** Begins to compare a fault with the old version's next calls. */
export function raiseAlert(fault: Fault, now: MonotonicMs): Alert {
  const { calls, bad } = sumOld(fault);
  return { at: now, fault, oldCalls: calls, oldBad: bad };
}

/** Options of `confirmFault`. */
export interface ConfirmFaultOptions {
  readonly alarm: Alert;
  /** False when later calls took the fault out of the evidence again. */
  readonly isStanding: boolean;
  readonly now: MonotonicMs;
}

/**
 * A fault outside hits both versions, but a moment of few calls may show it on
 * the new one alone. The hold has sent the calls to the old version meanwhile,
 * and how these end tells who is to blame.
 */
export function confirmFault(opts: ConfirmFaultOptions): FaultOrigin {
  const { alarm, isStanding, now } = opts;
  const { at, fault, oldCalls, oldBad } = alarm;
  const { finding } = fault;
  const old = sumOld(fault);
  const calls = old.calls - oldCalls;
  const bad = old.bad - oldBad;
  if (calls < minOldCalls && now - at < maxWaitMs) {
    return FaultOrigin.Undecided;
  }
  const rate = finding.bad / Math.max(1, finding.calls);
  // A fault outside may have ended by the time that the old version is asked.
  const oldRate = Math.max(
    bad / Math.max(1, calls),
    finding.oldBad / Math.max(1, finding.oldCalls),
  );
  const isShared = oldRate >= minSharedRate &&
    (!isStanding || oldRate >= sharedParts[finding.measure] * rate);
  return isShared ? FaultOrigin.Shared : FaultOrigin.NewVersion;
}

function sumOld(fault: Fault): { calls: number; bad: number } {
  const { finding, evidence } = fault;
  const slow = slowFrom(oldBuckets(evidence, finding.route)) ?? Infinity;
  const sum = { calls: 0, bad: 0 };
  for (const counts of evidence.values()) {
    const isCounted = counts.side === Side.Old &&
      (finding.route === ALL_ROUTES || finding.route === counts.route);
    if (!isCounted) continue;
    sum.calls += counts.calls;
    sum.bad += badOf(counts, finding.measure, slow);
  }
  return sum;
}

function badOf(counts: Counts, measure: Measure, slow: number): number {
  switch (measure) {
    case Measure.Errors:
      return counts.failures;
    case Measure.Overdue:
      return counts.overdue;
    case Measure.Slowness:
      return counts.overdue + counts.buckets.slice(slow).reduce(
        (sum, count) => sum + count,
        0,
      );
    default:
      return exhausted(measure);
  }
}
