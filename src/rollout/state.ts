/**
 * State, events and effects of rollouts: the evidence of this node, the holds
 * in force, and the rollouts whose lease this node holds.
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
  /** An error status, an incomplete answer or a timeout. */
  Failed: "failed",
} as const;
export type CallOutcome = typeof CallOutcome[keyof typeof CallOutcome];

/** Mutable counts of one side on one route. */
export interface Counts {
  readonly side: Side;
  readonly route: string;
  calls: number;
  failures: number;
  overdue: number;
  buckets: number[];
}

/** Counts by side and route; the key is `side route`. */
export type Evidence = Map<string, Counts>;

/** Sums over the newest report of each source. */
export interface Inbox {
  readonly sources: Map<string, EvidenceReport>;
  /** Sums by failure domain. */
  readonly byDomain: Map<string, Evidence>;
  readonly total: Evidence;
}

/** State of the reports that this node sends to one receiver at a time. */
export interface Outbox {
  /** Node id with its boot id (a reader) or lease term (the lease holder). */
  receiverId?: string;
  /** Increases with each change of receiver. */
  epoch: number;
  seq: number;
  sentAt: MonotonicMs;
  /** Sums already reported to earlier receivers. They are not sent again. */
  base: Evidence;
  /** Sums as of the newest report. */
  sent: Evidence;
}

/** Sequential test of one route and measure. */
export interface TestState {
  /** Log-likelihood ratio of each fault size, never below 0. */
  readonly scores: number[];
  /** Log-likelihood ratio of the fault to rule out, since `resetClearance`. */
  clearance: number;
  /** Calls and bad calls of the new version since `resetClearance`. */
  calls: number;
  bad: number;
  /** Exponentially decayed counts of the old version. */
  oldCalls: number;
  oldBad: number;
  /** Counts of the old version since the first analysis of the scope. */
  allOldCalls: number;
  allOldBad: number;
}

/** Result of the canary analysis of one scope. */
export type AnalysisResult =
  | { readonly type: "faulty"; readonly finding: Finding }
  | {
    readonly type: "unclear";
    /** True while a fault is more likely than not. */
    readonly isSuspect: boolean;
    readonly calls: number;
  }
  | { readonly type: "clear"; readonly calls: number };

/** Canary analysis of one scope: a node, a failure domain or the fleet. */
export interface AnalysisState {
  readonly tests: Map<string, TestState>;
  /** Sums that the tests include already. */
  readonly analyzed: Evidence;
  analyzedAt: MonotonicMs;
  /** Valid until the evidence grows. */
  result?: AnalysisResult;
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
  /** Calls go to the version during a small share of the time. */
  Probing: "probing",
} as const;
export type HoldPhase = typeof HoldPhase[keyof typeof HoldPhase];

/**
 * A hold at this node: it sends no calls, or few, to the version until the
 * fault is confirmed or cleared.
 */
export interface Hold {
  phase: HoldPhase;
  readonly origin: NodeId;
  readonly reason: string;
  /** Fault in the domain's evidence, set when this reader detected it. */
  readonly finding?: Finding;
  since: MonotonicMs;
  announcedAt: MonotonicMs;
}

/**
 * A hold that the lease holder has to confirm or release. A reader reported it,
 * or the lease holder holds the version itself.
 */
export interface RemoteHold {
  /** Reader that reported the hold. */
  readonly from: NodeId;
  readonly origin: NodeId;
  at: MonotonicMs;
  /**
   * Number of times that the hold was released because its fault was not
   * confirmed.
   */
  releases: number;
  isOpen: boolean;
}

/** One point in the plots of a rollout's report. */
export interface EvidencePoint {
  readonly at: WallMs;
  readonly perMille: number;
  readonly calls: number;
  readonly failures: number;
  readonly oldCalls: number;
  readonly oldFailures: number;
  /**
   * Share of answers in the slow latency buckets, which hold at most 10% of the
   * old version's answers.
   */
  readonly slowShare: number;
  readonly oldSlowShare: number;
}

/** A fault that is compared with further calls of the old version. */
export interface Alert {
  readonly at: MonotonicMs;
  readonly fault: Fault;
  readonly oldCalls: number;
  readonly oldBad: number;
}

/** State that only the holder of a rollout's lease keeps. */
export interface Leadership {
  readonly term: number;
  /** Start of the time in which this node has led without a pause. */
  since: MonotonicMs;
  tickedAt: MonotonicMs;
  /** Log offset of the newest step, with which the current stage began. */
  offset: number;
  stageStartedAt: MonotonicMs;
  /**
   * `offset` at the time that a step was appended; unset again once the log
   * shows the step or the append has ended.
   */
  sentAfter?: number;
  isRollbackSent: boolean;
  /** Time since which the version has no upstreams. Unset while it has some. */
  absentSince?: MonotonicMs;
  alert?: Alert;
  readonly analyses: Map<string, AnalysisState>;
  readonly inbox: Inbox;
  /** Holds by the reader that reported them and their origin. */
  readonly holds: Map<string, RemoteHold>;
  readonly history: EvidencePoint[];
  historyStepMs: number;
  heartbeatSentAt: MonotonicMs;
  holdSentAt: MonotonicMs;
}

/** State of one live rollout at this node. */
export interface TrackedRollout {
  rollout: Rollout;
  readonly local: Evidence;
  readonly localAnalysis: AnalysisState;
  readonly toReader: Outbox;
  /** Reports of this domain's nodes, filled at a reader. */
  readonly domain: Inbox;
  readonly domainAnalysis: AnalysisState;
  readonly toHolder: Outbox;
  hold?: Hold;
  /**
   * Time of the last heartbeat of the lease holder. A new term or step in the
   * log counts as a heartbeat.
   */
  heartbeatAt: MonotonicMs;
  /** Term of the lease in the log. */
  heartbeatTerm: number;
  /** Log offset of the newest step. */
  stepOffset: number;
  /** Time at which this node claims the lease if no heartbeat arrives. */
  claimAt?: MonotonicMs;
  /** Term that this process claimed last, 0 before the first claim. */
  claimedTerm: number;
  isClaimSent: boolean;
  leadership?: Leadership;
}

/** A call that has not ended. */
export interface InFlightCall {
  readonly service: string;
  readonly version: string;
  readonly route: string;
  readonly at: MonotonicMs;
  isOverdue: boolean;
}

/** A node that reads the configuration log for this failure domain. */
export interface Reader {
  readonly id: NodeId;
  /** Unique for each start of the process. */
  readonly boot: string;
}

export interface RolloutState {
  readonly self: NodeId;
  readonly domain: string;
  readonly boot: string;
  /** Readers of this domain as of the newest tick. */
  readers: readonly Reader[];
  /** Live rollouts by id. */
  readonly tracks: Map<string, TrackedRollout>;
  readonly inFlight: Map<number, InFlightCall>;
  /** Plot points of rollouts that ended while this node led them. */
  readonly endedHistories: Map<string, readonly EvidencePoint[]>;
  /** Versions to which this node sends no calls now, `service@version`. */
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
    /** Number from its `begun` event, so that an overdue call counts once. */
    readonly call?: number;
    readonly service: string;
    readonly version: string;
    readonly route: string;
    readonly outcome: CallOutcome;
    readonly latencyMs: number;
  }
  /** A call ended, but its end says nothing about its version. */
  | { readonly type: "abandoned"; readonly call: number }
  | {
    readonly type: "received";
    readonly from: NodeId;
    readonly message: RolloutMessage;
    readonly now: MonotonicMs;
  }
  /**
   * A record that this node appended was settled, with or without a verdict.
   */
  | { readonly type: "settled"; readonly rollout: string }
  | {
    readonly type: "ticked";
    readonly now: MonotonicMs;
    readonly wall: WallMs;
    readonly config: ConfigState;
    /** Readers of this domain, the preferred reader first. */
    readonly readers: readonly Reader[];
    /** Versions in live rollouts that have upstreams, `service@version`. */
    readonly present: ReadonlySet<string>;
    /** Random number from 0 to 1. */
    readonly random: number;
  };

/** Events in the course of a call. */
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
