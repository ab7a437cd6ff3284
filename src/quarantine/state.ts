/**
 * What a node knows of requests that were in flight when upstreams crashed.
 * @module
 */
import type { EndpointId, MonotonicMs, NodeId } from "../core/types.ts";
import type { Fingerprint, QuarantineMessage, SuspectRow } from "./messages.ts";

export const SuspicionLevel = {
  Clear: "clear",
  Suspect: "suspect",
  Quarantined: "convicted",
} as const;
export type SuspicionLevel = typeof SuspicionLevel[keyof typeof SuspicionLevel];

/** A row with the time at which this node forgets it. */
export interface KnownSuspect {
  row: SuspectRow;
  expiresAt: MonotonicMs;
}

/** The trial that an arbiter granted for a fingerprint. */
export interface GrantedIsolatedRun {
  readonly trial: string;
  readonly endsAt: MonotonicMs;
}

/** A call at this node that waits for its trial. */
export interface RequestedIsolatedRun {
  readonly fingerprint: Fingerprint;
  readonly deadlineAt: MonotonicMs;
  nextAt: MonotonicMs;
}

/** A call in flight at an endpoint of this home. */
export interface RunningCall {
  readonly fingerprint: Fingerprint;
  /** Trial under which the call runs alone, empty for others. */
  readonly trial: string;
}

/** Calls at one endpoint. */
export interface EndpointCalls {
  readonly running: Map<number, RunningCall>;
  /** Trial that runs here or waits to, so that nothing starts beside it. */
  reservedFor: string;
}

/** News of a crash that members have yet to confirm. */
export interface CrashUpdate {
  readonly endpoint: EndpointId;
  readonly rows: readonly SuspectRow[];
  readonly unacked: Set<NodeId>;
  readonly endsAt: MonotonicMs;
}

export interface QuarantineState {
  readonly self: NodeId;
  /** Unique for each start of the process. */
  readonly boot: string;
  nextId: number;
  /** Least recently changed first. */
  readonly suspects: Map<Fingerprint, KnownSuspect>;
  readonly granted: Map<Fingerprint, GrantedIsolatedRun>;
  readonly requested: Map<string, RequestedIsolatedRun>;
  /** Trials that this node was granted and has not ended. */
  readonly taken: Set<string>;
  readonly endpoints: Map<EndpointId, EndpointCalls>;
  /** By crash. */
  readonly crashUpdates: Map<string, CrashUpdate>;
}

export type QuarantineEvent =
  | {
    readonly type: "received";
    readonly from: NodeId;
    readonly message: QuarantineMessage;
    readonly members: readonly NodeId[];
    readonly now: MonotonicMs;
  }
  /** A suspect asks to run. */
  | {
    readonly type: "trial-asked";
    readonly fingerprint: Fingerprint;
    readonly trial: string;
    readonly deadlineAt: MonotonicMs;
    readonly members: readonly NodeId[];
    readonly now: MonotonicMs;
  }
  /** A trial ended without reaching an upstream. */
  | {
    readonly type: "trial-dropped";
    readonly fingerprint: Fingerprint;
    readonly trial: string;
    readonly members: readonly NodeId[];
    readonly now: MonotonicMs;
  }
  /** An upstream answered the call whole. */
  | {
    readonly type: "ended";
    readonly endpoint: EndpointId;
    readonly call: number;
    /** False when the caller left or the answer never came. */
    readonly isWhole: boolean;
    readonly members: readonly NodeId[];
    readonly now: MonotonicMs;
  }
  /** An upstream of this home died, which was not draining. */
  | {
    readonly type: "crashed";
    readonly endpoint: EndpointId;
    readonly members: readonly NodeId[];
    readonly now: MonotonicMs;
  }
  | {
    readonly type: "ticked";
    readonly members: readonly NodeId[];
    readonly now: MonotonicMs;
  };

export type QuarantineEffect =
  | {
    readonly type: "send";
    readonly to: NodeId;
    readonly message: QuarantineMessage;
  }
  /** The call may run alone, or is refused as not run. */
  | {
    readonly type: "resolve";
    readonly trial: string;
    readonly verdict: IsolatedRunVerdict;
  }
  /** Every member that can be reached knows of the crash. */
  | { readonly type: "told"; readonly endpoint: EndpointId };

export type IsolatedRunVerdict =
  | { readonly type: "run-alone"; readonly trial: string }
  /** Cleared meanwhile: the call runs as any other. */
  | { readonly type: "run" }
  | { readonly type: "convicted" }
  | { readonly type: "busy" };

/** Creates the state of a node that knows of no crash. */
export function createQuarantineState(
  self: NodeId,
  boot: string,
): QuarantineState {
  return {
    self,
    boot,
    nextId: 1,
    suspects: new Map(),
    granted: new Map(),
    requested: new Map(),
    taken: new Set(),
    endpoints: new Map(),
    crashUpdates: new Map(),
  };
}
