/**
 * State, events and effects of traffic shifts of services to new versions.
 * @module
 */
import type { MonotonicMs, NodeId, WallMs } from "../core/types.ts";
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

/** An operator's order to shift the traffic of a service to a version. */
export interface ShiftOrder {
  readonly service: string;
  readonly target: string;
  /** Time in which the traffic shift should be completed, in milliseconds. */
  readonly durationMs: number;
}

/** Time since an order. */
export interface Elapsed {
  readonly ms: number;
  /**
   * Whether a node saw the order arrive. Otherwise the time is an estimate that
   * derives from wall-clock time.
   */
  readonly isKnown: boolean;
}

/**
 * Current phase and share of a traffic shift. A step with a higher (epoch, seq)
 * replaces a step with a lower pair.
 */
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

/** A node's counts of both versions since its process started. */
export interface ShiftReport {
  readonly service: string;
  readonly target: string;
  /** Id of the reporting process. It changes when the process restarts. */
  readonly source: string;
  readonly seq: number;
  readonly elapsed: Elapsed;
  readonly counts: readonly RouteCounts[];
}

/** A finding that the target is faulty. */
export interface ShiftFault {
  readonly service: string;
  readonly target: string;
  /**
   * Phase in which the fault was found. The fault does not apply to later
   * phases.
   */
  readonly phase: ShiftPhase;
  readonly finding: Finding;
}

/** Status of a traffic shift, as recorded in the store. */
export interface ShiftStatus {
  readonly service: string;
  readonly target: string;
  readonly phase: ShiftPhase;
}

/** What the leader of a traffic shift should do. */
export interface LeaderAction {
  /** Share to set. Undefined to keep the current share. */
  readonly share: number | undefined;
  /** Phase to record in the store. Undefined to record none. */
  readonly phase: ShiftPhase | undefined;
}

/** Measurement of a service's request rate. */
export interface RequestRate {
  /** Start of the current window. */
  since: MonotonicMs;
  /** Runs at the start of the window. */
  runs: number;
  /** Runs per millisecond in the last complete window. */
  perMs: number;
}

/** Runs reported by one source, and how many of them failed. */
export interface SourceRunCounts {
  readonly runs: number;
  readonly failures: number;
}

/** State of the analysis of a version after it has taken over. */
export interface Bake {
  /** Start of the current window. */
  windowAt: MonotonicMs | undefined;
  /** Runs of each source at the start of the window. */
  runs: ReadonlyMap<string, SourceRunCounts>;
  /** Number of analyzed windows. */
  windows: number;
  /** Number of bad windows in a row. */
  badWindows: number;
}

export interface TrafficShift {
  readonly order: ShiftOrder;
  /** When the order was given, on this node's clock. */
  orderedAt: MonotonicMs;
  /**
   * Whether this node, or a node that sent `Elapsed` to it, saw the order
   * arrive.
   */
  isOrderTimeKnown: boolean;
  step: ShiftStep;
  /** When the current share was set. */
  stepAt: MonotonicMs;
  /** Runs of the target when the current share was set. */
  runsAtStep: number;
  readonly rate: RequestRate;
  /**
   * Fault known to this node, which sends the target no requests from then on.
   */
  fault: Finding | undefined;
  /** Phase whose write the store has confirmed. */
  recorded: ShiftPhase | undefined;
  /** Phase whose write to the store is pending. */
  recording: ShiftPhase | undefined;
  /**
   * Whether the store may have lost the status of an ended traffic shift, which
   * the leader then records again.
   */
  isStatusLost: boolean;
  /** Whether the leader has renewed its lease shortly before the full share. */
  isRenewed: boolean;
  /**
   * Action that the leader should take, and since when the action is pending.
   */
  pendingAction: (LeaderAction & { readonly since: MonotonicMs }) | undefined;
  /**
   * Weighted round-robin remainder, so that the share is exact for few
   * requests.
   */
  shareRemainder: number;
  /** Runs that this node has counted. */
  readonly local: Evidence;
  /** Sequence number of the last report: the number of runs that it counts. */
  localSeq: number;
  /** When the local counts were last reported. */
  reportedAt: MonotonicMs;
  readonly inbox: Inbox;
  readonly analysisState: AnalysisState;
  /** Undefined if the traffic shift had ended before this node started. */
  bake: Bake | undefined;
}

export interface TrafficShiftState {
  readonly self: NodeId;
  /** Identifies this process as the source of its reports. */
  readonly source: string;
  /** Epoch of the lease that this node holds. Undefined without a lease. */
  epoch: number | undefined;
  /**
   * End of the time in which this node does not lead, after it was replaced.
   */
  steppedDownUntil: MonotonicMs;
  /** When this node last found that it runs. Undefined before the first time. */
  ranAt: { readonly now: MonotonicMs; readonly wall: WallMs } | undefined;
  /** Time that the store took for this node's last write, in milliseconds. */
  storeMs: number;
  readonly shifts: Map<string, TrafficShift>;
  /**
   * Version that runs the requests of a service that are not shifted to a
   * target.
   */
  readonly base: Map<string, string>;
  /**
   * Versions whose traffic shift was not completed, by service. While their
   * endpoints drain, a later traffic shift must not use them as its old
   * version.
   */
  readonly withdrawn: Map<string, Set<string>>;
  /**
   * Last status of each service that was read from the store or recorded there.
   */
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
    /** Whether the order was written after this node started. */
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
    readonly type: "step-received";
    readonly step: ShiftStep;
    readonly now: MonotonicMs;
  }
  | {
    readonly type: "report-received";
    readonly report: ShiftReport;
    readonly now: MonotonicMs;
  }
  /** Another node has found the target faulty. */
  | { readonly type: "fault-received"; readonly fault: ShiftFault }
  /** The store confirmed the write of a status. */
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
  /**
   * The store was restored from an older copy: leases and statuses of the time
   * since the copy are gone.
   */
  | { readonly type: "store-restored" }
  /** This node runs. Received before each tick. */
  | {
    readonly type: "ran";
    readonly now: MonotonicMs;
    readonly wall: WallMs;
  }
  | {
    readonly type: "ticked";
    readonly now: MonotonicMs;
    /**
     * Number of nodes that precede this node as leader. Undefined when this
     * node can't lead.
     */
    readonly rank: number | undefined;
    readonly exposure: ExposureTerms;
    /** Ready endpoints of a version, and calls that run or wait there. */
    readonly loadOf: (service: string, version: string) => VersionLoad;
  };

export type ShiftTickedEvent = Extract<TrafficShiftEvent, { type: "ticked" }>;

/**
 * Number of ready endpoints of a version, and of calls that run or wait there.
 */
export interface VersionLoad {
  readonly ready: number;
  readonly calls: number;
  /** Sum over all other versions of the service. */
  readonly otherReady: number;
  readonly otherCalls: number;
}

export type TrafficShiftEffect =
  /** Request the lease. */
  | { readonly type: "lease" }
  /** Record a status in the store under the lease. */
  | {
    readonly type: "record";
    readonly epoch: number;
    readonly status: ShiftStatus;
    /** Time since the order, in milliseconds. */
    readonly elapsedMs: number;
    /** Runs that this node has counted or received, for the audit trail. */
    readonly runs: RunSums;
  }
  /** Send a step to the other nodes. */
  | {
    readonly type: "send-step";
    readonly step: ShiftStep;
    readonly runs: RunSums;
  }
  /** Send this node's counts to the other nodes. */
  | { readonly type: "send-report"; readonly report: ShiftReport }
  /** Send a fault that this node found to the other nodes. */
  | { readonly type: "send-fault"; readonly fault: ShiftFault };

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
    steppedDownUntil: -Infinity,
    ranAt: undefined,
    storeMs: 0,
    shifts: new Map(),
    base: new Map(),
    withdrawn: new Map(),
    statuses: new Map(),
    orderTimes: new Map(),
  };
}
