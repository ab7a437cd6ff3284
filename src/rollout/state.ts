/**
 * What this node measures of versions, and the rollouts that it leads.
 * @module
 */
import type { ConfigRecord } from "../config_log/messages.ts";
import type { ConfigState, Rollout } from "../config_log/state.ts";
import type { MonotonicMs, NodeId, WallMs } from "../core/types.ts";
import type {
  EvidenceReport,
  Finding,
  RolloutMessage,
  Side,
} from "./messages.ts";

/** How a call to an upstream ended. */
export const CallOutcome = {
  Served: "served",
  /** An error status, a broken answer or a time-out. */
  Failed: "failed",
} as const;
export type CallOutcome = typeof CallOutcome[keyof typeof CallOutcome];

/** Counts of one side on one route while they are summed up. */
export interface Counts {
  readonly side: Side;
  readonly route: string;
  calls: number;
  failures: number;
  overdue: number;
  buckets: number[];
}

/** Counts by `side route`. */
export type Evidence = Map<string, Counts>;

/** Sums over the latest reports of all sources. */
export interface Inbox {
  readonly sources: Map<string, EvidenceReport>;
  /** Sums of each failure domain. */
  readonly byDomain: Map<string, Evidence>;
  readonly total: Evidence;
}

/** Reports to one receiver at a time. */
export interface Outbox {
  /** Start of a reader, or term of a holder. */
  receiver?: string;
  /** Grows with each change of receiver. */
  epoch: number;
  seq: number;
  sentAt: MonotonicMs;
  /** Sums reported to earlier receivers, which are not told again. */
  base: Evidence;
  /** Sums as last sent. */
  sent: Evidence;
}

/** One sequential test of one route and measure. */
export interface TestState {
  /** Log-likelihood ratio of each fault size, restarted at 0. */
  readonly scores: number[];
  /** Log-likelihood ratio of the fault to rule out, since the last step. */
  clearance: number;
  /** Calls and bad ones of the new version since the last step. */
  calls: number;
  bad: number;
  /** Decayed counts of the old version. */
  oldCalls: number;
  oldBad: number;
  /** Counts of the old version since the scope was first judged. */
  allOldCalls: number;
  allOldBad: number;
}

/** A judgement of one scope. */
export type AnalysisResult =
  | { readonly type: "faulty"; readonly finding: Finding }
  | {
    readonly type: "unclear";
    /** True while a fault is more likely than not. */
    readonly isSuspect: boolean;
    readonly calls: number;
  }
  | { readonly type: "clear"; readonly calls: number };

/** The tests of one scope: a node, a failure domain or the fleet. */
export interface AnalysisState {
  readonly tests: Map<string, TestState>;
  /** Sums that were judged already. */
  readonly judged: Evidence;
  judgedAt: MonotonicMs;
  /** Judgement that holds until the evidence grows. */
  last?: AnalysisResult;
}

/** A finding with the scope whose evidence shows it. */
export interface Fault {
  readonly finding: Finding;
  readonly scope: string;
  readonly evidence: Evidence;
}

export const HoldPhase = {
  /** No calls go to the version. */
  Full: "full",
  /** Calls go to it during a small share of the time. */
  Probing: "probing",
} as const;
export type HoldPhase = typeof HoldPhase[keyof typeof HoldPhase];

/** A version that this node holds back. */
export interface Hold {
  phase: HoldPhase;
  readonly origin: NodeId;
  readonly reason: string;
  /** Fault in the domain's evidence, when this reader saw it. */
  readonly finding?: Finding;
  since: MonotonicMs;
  toldAt: MonotonicMs;
}

/** A hold that this node, as the holder, was told of. */
export interface RemoteHold {
  /** Reader that told of it. */
  readonly from: NodeId;
  readonly origin: NodeId;
  at: MonotonicMs;
  /** Times that it was released without being confirmed. */
  releases: number;
  isOpen: boolean;
}

/** One point of the report's plots. */
export interface EvidencePoint {
  readonly at: WallMs;
  readonly perMille: number;
  readonly calls: number;
  readonly failures: number;
  readonly oldCalls: number;
  readonly oldFailures: number;
  /** Share of calls slower than the old version's 90th percentile, or more. */
  readonly slowShare: number;
  readonly oldSlowShare: number;
}

/** A fault that waits for calls of the old version to compare with. */
export interface Alert {
  readonly at: MonotonicMs;
  readonly fault: Fault;
  readonly oldCalls: number;
  readonly oldBad: number;
}

/** What only the holder of a rollout's lease keeps. */
export interface Leadership {
  readonly term: number;
  /** Since when it leads without a pause. */
  since: MonotonicMs;
  tickedAt: MonotonicMs;
  /** Steps on record when the present stage began. */
  steps: number;
  stageAt: MonotonicMs;
  /** Steps on record when a step was sent, until the fold shows it. */
  sentSteps?: number;
  isRollbackSent: boolean;
  absentSince?: MonotonicMs;
  alarm?: Alert;
  readonly judges: Map<string, AnalysisState>;
  readonly inbox: Inbox;
  /** Holds by the reader that told of them and their origin. */
  readonly holds: Map<string, RemoteHold>;
  readonly history: EvidencePoint[];
  historyStepMs: number;
  signedAt: MonotonicMs;
  heldAt: MonotonicMs;
}

/** What this node knows of one live rollout. */
export interface Track {
  rollout: Rollout;
  readonly local: Evidence;
  readonly localJudge: AnalysisState;
  readonly toReader: Outbox;
  /** Reports of this domain's nodes, at a reader. */
  readonly domain: Inbox;
  readonly domainJudge: AnalysisState;
  readonly toHolder: Outbox;
  hold?: Hold;
  /** Last sign of life of the lease's holder. */
  signAt: MonotonicMs;
  signTerm: number;
  signSteps: number;
  claimAt?: MonotonicMs;
  claimedTerm: number;
  isClaimSent: boolean;
  leadership?: Leadership;
}

/** A call that has not ended. */
export interface BegunCall {
  readonly service: string;
  readonly version: string;
  readonly route: string;
  readonly at: MonotonicMs;
  isOverdue: boolean;
}

/** A node that follows the log for this failure domain. */
export interface Reader {
  readonly id: NodeId;
  /** Unique for each start of the process. */
  readonly boot: string;
}

export interface RolloutState {
  readonly self: NodeId;
  readonly domain: string;
  readonly boot: string;
  /** Readers of this domain as of the last tick. */
  readers: readonly Reader[];
  /** Live rollouts by id. */
  readonly tracks: Map<string, Track>;
  readonly inFlight: Map<number, BegunCall>;
  /** Evidence over time of rollouts that ended while this node led them. */
  readonly endedHistories: Map<string, readonly EvidencePoint[]>;
  /** Versions that get no calls from this node, `service@version`. */
  readonly held: Set<string>;
}

export type RolloutEvent =
  | {
    readonly type: "begun";
    /** Number of the call, unique within this process. */
    readonly call: number;
    readonly service: string;
    readonly version: string;
    readonly route: string;
    readonly now: MonotonicMs;
  }
  | {
    readonly type: "answered";
    /** Number given when it began, so that it counts once. */
    readonly call?: number;
    readonly service: string;
    readonly version: string;
    readonly route: string;
    readonly outcome: CallOutcome;
    readonly latencyMs: number;
  }
  /** A call ended without saying anything of its version. */
  | { readonly type: "abandoned"; readonly call: number }
  | {
    readonly type: "received";
    readonly from: NodeId;
    readonly message: RolloutMessage;
    readonly now: MonotonicMs;
  }
  /** A record that this node sent got its verdict. */
  | { readonly type: "settled"; readonly rollout: string }
  | {
    readonly type: "ticked";
    readonly now: MonotonicMs;
    readonly wall: WallMs;
    readonly config: ConfigState;
    /** Readers of this domain, the preferred one first. */
    readonly readers: readonly Reader[];
    /** Versions of live rollouts that have upstreams, `service@version`. */
    readonly present: ReadonlySet<string>;
    /** Random number from 0 to 1. */
    readonly random: number;
  };

/** What the way of a call says of it. */
export type CallEvent = Extract<
  RolloutEvent,
  { type: "begun" | "answered" | "abandoned" }
>;
export type TickedEvent = Extract<RolloutEvent, { type: "ticked" }>;

export type RolloutEffect =
  | {
    readonly type: "send";
    readonly to: NodeId;
    readonly message: RolloutMessage;
  }
  /** Sends to every other node of this failure domain. */
  | { readonly type: "tell-domain"; readonly message: RolloutMessage }
  | {
    readonly type: "append";
    readonly rollout: string;
    readonly record: ConfigRecord;
  }
  /** The local hold on a version began, changed or ended. */
  | {
    readonly type: "hold-changed";
    readonly rollout: string;
    readonly sentence: string;
  };

/** Options of `createRolloutState`. */
export interface CreateRolloutStateOptions {
  readonly self: NodeId;
  readonly domain: string;
  /** Unique for each start of the process. */
  readonly boot: string;
}

export function createRolloutState(
  opts: CreateRolloutStateOptions,
): RolloutState {
  return {
    ...opts,
    readers: [],
    tracks: new Map(),
    inFlight: new Map(),
    endedHistories: new Map(),
    held: new Set(),
  };
}
