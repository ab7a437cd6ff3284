/**
 * Creates the state that a node keeps for one live rollout.
 * @module
 */
import type { Rollout } from "../config_log/state.ts";
import type { MonotonicMs } from "../core/types.ts";
import type {
  AnalysisState,
  Inbox,
  Leadership,
  Outbox,
  TrackedRollout,
} from "./state.ts";

/** Creates the state of a rollout that this node first reads at `now`. */
export function createTrackedRollout(
  rollout: Rollout,
  now: MonotonicMs,
): TrackedRollout {
  return {
    rollout,
    local: new Map(),
    localAnalysis: createAnalysisState(now),
    toReader: createOutbox(),
    domain: createInbox(),
    domainAnalysis: createAnalysisState(now),
    toHolder: createOutbox(),
    heartbeatAt: now,
    heartbeatTerm: 0,
    stepOffset: 0,
    claimedTerm: 0,
    isClaimSent: false,
  };
}

export function createInbox(): Inbox {
  return { sources: new Map(), byDomain: new Map(), total: new Map() };
}

export function createOutbox(): Outbox {
  return {
    epoch: 0,
    seq: 0,
    sentAt: -Infinity,
    base: new Map(),
    sent: new Map(),
  };
}

export function createAnalysisState(now: MonotonicMs): AnalysisState {
  return { tests: new Map(), analyzed: new Map(), analyzedAt: now };
}

/** Creates a leadership without evidence. */
export function createLeadership(
  term: number,
  lastStepOffset: number,
  now: MonotonicMs,
): Leadership {
  return {
    term,
    since: now,
    tickedAt: now,
    offset: lastStepOffset,
    stageStartedAt: now,
    isRollbackSent: false,
    analyses: new Map(),
    inbox: createInbox(),
    holds: new Map(),
    history: [],
    historyStepMs: 1_000,
    heartbeatSentAt: -Infinity,
    holdSentAt: -Infinity,
  };
}
