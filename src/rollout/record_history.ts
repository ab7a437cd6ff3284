/**
 * Records a bounded history of the evidence, for the report on a rollout.
 * @module
 */
import {
  ALL_ROUTES,
  findSlowBucket,
  sumOldBuckets,
} from "./analyze_evidence.ts";
import { Side } from "./messages.ts";
import type {
  Evidence,
  EvidencePoint,
  Leadership,
  RolloutState,
  TickedEvent,
  TrackedRollout,
} from "./state.ts";

/** Limit on the points per rollout. Longer rollouts get coarser points. */
export const MAX_POINTS = 300;

/** Limit on the ended rollouts whose points are kept in memory. */
const MAX_HISTORIES = 8;

/**
 * Adds a point when the history's interval has passed. A point holds all sums
 * in the lease holder's inbox, also those of calls from before its term.
 */
export function recordHistory(
  tracked: TrackedRollout,
  lead: Leadership,
  event: TickedEvent,
) {
  const { history } = lead;
  const lastAt = history.at(-1)?.at ?? -Infinity;
  if (event.wall - lastAt < lead.historyStepMs) return;
  history.push(createPoint(tracked, lead.inbox.total, event));
  if (history.length < MAX_POINTS) return;
  // Dropping every other point keeps the complete time range.
  const kept = history.filter((_, index) => index % 2 === 0);
  history.splice(0, history.length, ...kept);
  lead.historyStepMs *= 2;
}

/** Keeps the history of a rollout that ended, and evicts the oldest one. */
export function keepEndedHistory(state: RolloutState, tracked: TrackedRollout) {
  if (tracked.leadership === undefined) return;
  const { endedHistories } = state;
  endedHistories.set(tracked.rollout.id, tracked.leadership.history);
  const [oldest] = endedHistories.keys();
  if (oldest === undefined || endedHistories.size <= MAX_HISTORIES) return;
  endedHistories.delete(oldest);
}

function createPoint(
  tracked: TrackedRollout,
  evidence: Evidence,
  event: TickedEvent,
): EvidencePoint {
  const first = findSlowBucket(sumOldBuckets(evidence, ALL_ROUTES)) ?? Infinity;
  const sums = {
    [Side.New]: { calls: 0, failures: 0, slow: 0, answers: 0 },
    [Side.Old]: { calls: 0, failures: 0, slow: 0, answers: 0 },
  };
  for (const counts of evidence.values()) {
    const sum = sums[counts.side];
    sum.calls += counts.calls;
    sum.failures += counts.failures;
    counts.buckets.forEach((count, bucket) => {
      sum.answers += count;
      if (bucket >= first) sum.slow += count;
    });
  }
  const { [Side.New]: newSums, [Side.Old]: oldSums } = sums;
  return {
    at: event.wall,
    perMille: tracked.rollout.perMille,
    calls: newSums.calls,
    failures: newSums.failures,
    oldCalls: oldSums.calls,
    oldFailures: oldSums.failures,
    slowShare: newSums.slow / Math.max(1, newSums.answers),
    oldSlowShare: oldSums.slow / Math.max(1, oldSums.answers),
  };
}
