/**
 * Keeps a bounded history of the evidence for a rollout's report.
 * @module
 */
import { ALL_ROUTES, oldBuckets, slowFrom } from "./analyze_evidence.ts";
import { Side } from "./messages.ts";
import type {
  Evidence,
  EvidencePoint,
  Leadership,
  RolloutState,
  TickedEvent,
  Track,
} from "./state.ts";

/** Points kept of one rollout. Longer rollouts get coarser points. */
export const MAX_POINTS = 300;

/** Ended rollouts whose points are kept. */
const maxEnded = 8;

/** Adds a point when one is due. Points hold sums since the lease began. */
export function recordHistory(
  track: Track,
  lead: Leadership,
  event: TickedEvent,
) {
  const { history } = lead;
  const lastAt = history.at(-1)?.at ?? -Infinity;
  if (event.wall - lastAt < lead.historyStepMs) return;
  history.push(sumPoint(track, lead.inbox.total, event));
  if (history.length < MAX_POINTS) return;
  // Dropping every other point keeps the whole time in view.
  const kept = history.filter((_, index) => index % 2 === 0);
  history.splice(0, history.length, ...kept);
  lead.historyStepMs *= 2;
}

/** Keeps the history of a rollout that ended, and drops the oldest. */
export function keepHistory(state: RolloutState, track: Track) {
  if (track.leadership === undefined) return;
  const { endedHistories } = state;
  endedHistories.set(track.rollout.id, track.leadership.history);
  const [oldest] = endedHistories.keys();
  if (oldest === undefined || endedHistories.size <= maxEnded) return;
  endedHistories.delete(oldest);
}

function sumPoint(
  track: Track,
  evidence: Evidence,
  event: TickedEvent,
): EvidencePoint {
  const first = slowFrom(oldBuckets(evidence, ALL_ROUTES)) ?? Infinity;
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
  const { [Side.New]: fresh, [Side.Old]: old } = sums;
  return {
    at: event.wall,
    perMille: track.rollout.perMille,
    calls: fresh.calls,
    failures: fresh.failures,
    oldCalls: old.calls,
    oldFailures: old.failures,
    slowShare: fresh.slow / Math.max(1, fresh.answers),
    oldSlowShare: old.slow / Math.max(1, old.answers),
  };
}
