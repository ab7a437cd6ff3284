/**
 * Creates what a node keeps of one live rollout.
 * @module
 */
import type { Rollout } from "../config_log/state.ts";
import type { MonotonicMs } from "../core/types.ts";
import type {
  AnalysisState,
  Inbox,
  Leadership,
  Outbox,
  Track,
} from "./state.ts";

/** Creates the track of a rollout first seen at `now`. */
export function createTrack(rollout: Rollout, now: MonotonicMs): Track {
  return {
    rollout,
    local: new Map(),
    localJudge: createAnalysisState(now),
    toReader: createOutbox(),
    domain: createInbox(),
    domainJudge: createAnalysisState(now),
    toHolder: createOutbox(),
    signAt: now,
    signTerm: 0,
    signSteps: 0,
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
  return { tests: new Map(), judged: new Map(), judgedAt: now };
}

/** Creates a leadership without any evidence of its own. */
export function createLeadership(
  term: number,
  steps: number,
  now: MonotonicMs,
): Leadership {
  return {
    term,
    since: now,
    tickedAt: now,
    steps,
    stageAt: now,
    isRollbackSent: false,
    judges: new Map(),
    inbox: createInbox(),
    holds: new Map(),
    history: [],
    historyStepMs: 1_000,
    signedAt: -Infinity,
    heldAt: -Infinity,
  };
}
