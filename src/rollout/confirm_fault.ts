/**
 * Decides whether the new version is to blame for a fault.
 * @module
 */
import { fullShare } from "../config_log/fold_rollout.ts";
import type { MonotonicMs } from "../core/types.ts";
import { allRoutes } from "./judge_evidence.ts";
import { Side } from "./messages.ts";
import { type Finding, type Leadership, Measure, type Track } from "./state.ts";

/** Calls of the old version that settle who is to blame. */
const minOldCalls = 20;
/** Time to wait for them before the version is taken back all the same. */
const maxWaitMs = 4_000;
/** The old version is as bad when it fails this part as often. */
const asBad = 0.5;

/** Outcome of comparing a fault with the old version. */
export type Blame = "confirmed" | "waiting" | "acquitted";

/**
 * A version that serves alone has nothing beside it to be compared with. The
 * hold has sent its calls back to the old version, and these tell within a
 * moment whether a fault outside hits both.
 */
export function confirmFault(
  track: Track,
  lead: Leadership,
  finding: Finding,
  now: MonotonicMs,
): Blame {
  if (track.rollout.perMille < fullShare) return "confirmed";
  const old = sumOld(lead, finding);
  lead.alarm ??= { at: now, oldCalls: old.calls, oldBad: old.bad };
  const calls = old.calls - lead.alarm.oldCalls;
  const bad = old.bad - lead.alarm.oldBad;
  if (calls < minOldCalls && now - lead.alarm.at < maxWaitMs) return "waiting";
  const newRate = finding.bad / Math.max(1, finding.calls);
  const oldRate = bad / Math.max(1, calls);
  // The counts since the last step dilute a late fault of the new version.
  const isShared = oldRate > 0.05 && oldRate >= asBad * newRate;
  if (!isShared) return "confirmed";
  delete lead.alarm;
  return "acquitted";
}

function sumOld(
  lead: Leadership,
  finding: Finding,
): { calls: number; bad: number } {
  const sum = { calls: 0, bad: 0 };
  for (const counts of lead.inbox.total.values()) {
    const isCounted = counts.side === Side.Old &&
      (finding.route === allRoutes || finding.route === counts.route);
    if (!isCounted) continue;
    sum.calls += counts.calls;
    // A slow old version shows in its overdue calls.
    sum.bad += finding.measure === Measure.Errors
      ? counts.failures
      : counts.overdue;
  }
  return sum;
}
