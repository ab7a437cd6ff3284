/**
 * Orders to move services to new versions, and how far each move is.
 * @module
 */
import type { MonotonicMs, NodeId } from "../core/types.ts";
import type { Finding, RouteCounts } from "../rollout/messages.ts";
import type { AnalysisState, Evidence, Inbox } from "../rollout/state.ts";
import type { ExposureTerms } from "./plan_share.ts";
import type { RunSums } from "./sum_runs.ts";

export const ShiftPhase = {
  Running: "running",
  Completed: "completed",
  RolledBack: "rolled-back",
} as const;
export type ShiftPhase = typeof ShiftPhase[keyof typeof ShiftPhase];

/** An operator's order to move a service to a version. */
export interface ShiftOrder {
  readonly service: string;
  readonly target: string;
  /** Time in which the move should be completed, in milliseconds. */
  readonly durationMs: number;
}

/** Time since an order. */
export interface Elapsed {
  readonly ms: number;
  /** Someone saw the order arrive. Else it is a guess, by the time of day. */
  readonly isKnown: boolean;
}

/** How far a move is. A higher (epoch, seq) replaces a lower one. */
export interface ShiftStep {
  readonly service: string;
  readonly target: string;
  /** Lease under which the step was decided. 0 before the first lease. */
  readonly epoch: number;
  readonly seq: number;
  readonly phase: ShiftPhase;
  /** Share of the service's requests that the target gets, 0 to 1. */
  readonly share: number;
  readonly elapsed: Elapsed;
}

/** A node's counts of both versions since its process began. */
export interface ShiftReport {
  readonly service: string;
  readonly target: string;
  /** Unique for each start of a process. */
  readonly source: string;
  readonly seq: number;
  readonly elapsed: Elapsed;
  readonly counts: readonly RouteCounts[];
}

/** A target that some node has found faulty. */
export interface ShiftFault {
  readonly service: string;
  readonly target: string;
  /** Phase in which it was found. It says nothing of a later one. */
  readonly phase: ShiftPhase;
  readonly finding: Finding;
}

/** A status that the store holds. */
export interface ShiftStatus {
  readonly service: string;
  readonly target: string;
  readonly phase: ShiftPhase;
}

/** What the leader of a move should do. */
export interface LeaderAction {
  /** Share to set. */
  readonly share: number | undefined;
  /** Phase to put on record. */
  readonly phase: ShiftPhase | undefined;
}

/** How fast the requests of a service come. */
export interface RequestRate {
  /** Start of the present window. */
  since: MonotonicMs;
  /** Runs at the start of the window. */
  runs: number;
  /** Runs in a millisecond of the last whole window. */
  perMs: number;
}

/** Runs at one source, and those of them that failed. */
export interface SourceRunCounts {
  readonly runs: number;
  readonly failures: number;
}

/** How a version does after it has taken over. */
export interface Bake {
  /** Start of the present window. */
  windowAt: MonotonicMs | undefined;
  /** Runs of each source at the start of the window. */
  runs: ReadonlyMap<string, SourceRunCounts>;
  /** Windows that were judged. */
  windows: number;
  /** Windows in a row that were bad. */
  badWindows: number;
}

export interface TrafficShift {
  readonly order: ShiftOrder;
  /** When the order was given, on this node's clock. */
  orderedAt: MonotonicMs;
  /** This node, or one that told it, saw the order arrive. */
  isTimeKnown: boolean;
  step: ShiftStep;
  stepAt: MonotonicMs;
  /** Runs of the target when the present share was set. */
  runsAtStep: number;
  readonly rate: RequestRate;
  /** Fault seen here. This node sends the target nothing from then on. */
  fault: Finding | undefined;
  /** Phase that the store has confirmed. */
  recorded: ShiftPhase | undefined;
  /** Phase that is on its way to the store. */
  recording: ShiftPhase | undefined;
  /** The leader has written to the store shortly before the last step. */
  isRenewed: boolean;
  /** What the leader should do, and since when. */
  pendingAction: (LeaderAction & { readonly since: MonotonicMs }) | undefined;
  /** Carry of the share, so that few requests are shared exactly. */
  credit: number;
  readonly local: Evidence;
  localSeq: number;
  /** When the local counts were last reported. */
  reportedAt: MonotonicMs;
  readonly inbox: Inbox;
  readonly analysisState: AnalysisState;
  /** Undefined where the move had ended before this node started. */
  bake: Bake | undefined;
}

export interface TrafficShiftState {
  readonly self: NodeId;
  /** This process, as the source of its reports. */
  readonly source: string;
  /** Epoch of the lease that this node holds. */
  epoch: number | undefined;
  /** Until when this node leads nothing, since another has replaced it. */
  yieldUntil: MonotonicMs;
  /** Time that the store took for this node's last record, in milliseconds. */
  storeMs: number;
  readonly shifts: Map<string, TrafficShift>;
  /** Version that carries a service while no move is ordered. */
  readonly base: Map<string, string>;
  /**
   * Versions whose move did not end well, by service. While their endpoints
   * drain, a next move must not take them for the version to go back to.
   */
  readonly withdrawn: Map<string, Set<string>>;
  /** Statuses read from the store at start, by service. */
  readonly statuses: Map<string, ShiftStatus>;
  /** When orders were given, as read from the store, by service. */
  readonly orderTimes: Map<
    string,
    { readonly target: string; readonly orderedAt: MonotonicMs }
  >;
}

export type TrafficShiftEvent =
  | {
    readonly type: "ordered";
    readonly order: ShiftOrder;
    /** It has just been written. Else it was there when this node started. */
    readonly isNew: boolean;
    readonly now: MonotonicMs;
  }
  | {
    readonly type: "status-read";
    readonly status: ShiftStatus;
    readonly now: MonotonicMs;
  }
  | {
    readonly type: "order-time-read";
    readonly service: string;
    readonly target: string;
    /** Time since the order, in milliseconds. */
    readonly elapsedMs: number;
    readonly now: MonotonicMs;
  }
  | {
    readonly type: "step-heard";
    readonly step: ShiftStep;
    readonly now: MonotonicMs;
  }
  | {
    readonly type: "report-heard";
    readonly report: ShiftReport;
    readonly now: MonotonicMs;
  }
  /** Another node has found the target faulty. */
  | { readonly type: "fault-heard"; readonly fault: ShiftFault }
  /** The store confirmed a status. */
  | {
    readonly type: "recorded";
    readonly status: ShiftStatus;
    /** Time that the store took, in milliseconds. */
    readonly tookMs: number;
    readonly now: MonotonicMs;
  }
  | { readonly type: "record-failed"; readonly status: ShiftStatus }
  /** The lease was granted or lost. */
  | { readonly type: "leased"; readonly epoch: number | undefined }
  | {
    readonly type: "ticked";
    readonly now: MonotonicMs;
    /**
     * Nodes that go before this one as the leader of moves. Undefined when it
     * can't lead.
     */
    readonly rank: number | undefined;
    readonly exposure: ExposureTerms;
    /** Ready endpoints of a version, and calls that run or wait there. */
    readonly loadOf: (service: string, version: string) => VersionLoad;
  };

export type ShiftTickedEvent = Extract<TrafficShiftEvent, { type: "ticked" }>;

/** Endpoints of a version and their calls. */
export interface VersionLoad {
  readonly ready: number;
  readonly calls: number;
  /** The same of all other versions of the service. */
  readonly otherReady: number;
  readonly otherCalls: number;
}

export type TrafficShiftEffect =
  | { readonly type: "lease" }
  | {
    readonly type: "record";
    readonly epoch: number;
    readonly status: ShiftStatus;
    /** Time since the order, in milliseconds. */
    readonly elapsedMs: number;
    /** Runs that this node knows of, for the audit trail. */
    readonly runs: RunSums;
  }
  | {
    readonly type: "tell";
    readonly step: ShiftStep;
    readonly runs: RunSums;
  }
  | { readonly type: "report"; readonly report: ShiftReport }
  | { readonly type: "faulty"; readonly fault: ShiftFault };

/** Options of `createTrafficShiftState`. */
export interface CreateTrafficShiftStateOptions {
  readonly self: NodeId;
  readonly source: string;
}

export function createTrafficShiftState(
  opts: CreateTrafficShiftStateOptions,
): TrafficShiftState {
  return {
    ...opts,
    epoch: undefined,
    yieldUntil: -Infinity,
    storeMs: 0,
    shifts: new Map(),
    base: new Map(),
    withdrawn: new Map(),
    statuses: new Map(),
    orderTimes: new Map(),
  };
}
