/**
 * State of a node about requests that were in flight when upstreams crashed.
 *
 * In traces and messages, `trial` is an isolated run: a suspected request that
 * runs alone at its endpoint.
 * @module
 */
import type { EndpointId, MonotonicMs, NodeId } from "../core/types.ts";
import type { Fingerprint, QuarantineMessage, SuspectRow } from "./messages.ts";

/**
 * `Clear` requests run as usual. `Suspect` requests run only in isolated runs.
 * `Quarantined` requests are refused, since they crash their upstreams.
 */
export const SuspicionLevel = {
  Clear: "clear",
  Suspect: "suspect",
  Quarantined: "convicted",
} as const;
export type SuspicionLevel = typeof SuspicionLevel[keyof typeof SuspicionLevel];

/** A row and the time at which this node drops it. */
export interface KnownSuspect {
  row: SuspectRow;
  expiresAt: MonotonicMs;
}

/** The isolated run that an arbiter has granted for a fingerprint. */
export interface GrantedIsolatedRun {
  readonly trial: string;
  /** When the grant expires. */
  readonly endsAt: MonotonicMs;
}

/** A call at this node that waits for an isolated run. */
export interface RequestedIsolatedRun {
  readonly fingerprint: Fingerprint;
  readonly deadlineAt: MonotonicMs;
  /** When the request is sent to the arbiter again. */
  nextAt: MonotonicMs;
}

/** A call in flight at an endpoint on this VM. */
export interface RunningCall {
  readonly fingerprint: Fingerprint;
  /** Id of the call's isolated run, empty when the call is not isolated. */
  readonly trial: string;
}

/** Calls at one endpoint. */
export interface EndpointCalls {
  readonly running: Map<number, RunningCall>;
  /**
   * Id of the isolated run that runs or waits at the endpoint, empty when there
   * is none. While an id is set, no other call starts.
   */
  reservedFor: string;
}

/** A crash that some members have not confirmed yet. */
export interface CrashUpdate {
  readonly endpoint: EndpointId;
  readonly rows: readonly SuspectRow[];
  /** Members that have not confirmed the crash. */
  readonly unacked: Set<NodeId>;
  /** When waiting for confirmations ends. */
  readonly endsAt: MonotonicMs;
}

export interface QuarantineState {
  readonly self: NodeId;
  /** Id of this process start, unique per start. */
  readonly boot: string;
  nextId: number;
  /** Stored rows, the least recently changed first. */
  readonly suspects: Map<Fingerprint, KnownSuspect>;
  /** Grants that this node has made as an arbiter. */
  readonly granted: Map<Fingerprint, GrantedIsolatedRun>;
  /** Calls at this node that wait, by the id of the requested isolated run. */
  readonly requested: Map<string, RequestedIsolatedRun>;
  /** Isolated runs that were granted to this node and have not ended. */
  readonly ownGrants: Set<string>;
  readonly endpoints: Map<EndpointId, EndpointCalls>;
  /** Crashes that some members have not confirmed, by crash id. */
  readonly crashUpdates: Map<string, CrashUpdate>;
}

/** The type values and keys are stored in recorded traces. */
export type QuarantineEvent =
  /** A message from a peer arrived. */
  | {
    readonly type: "received";
    readonly from: NodeId;
    readonly message: QuarantineMessage;
    readonly members: readonly NodeId[];
    readonly now: MonotonicMs;
  }
  /** A suspected call asks for an isolated run. */
  | {
    readonly type: "trial-asked";
    readonly fingerprint: Fingerprint;
    readonly trial: string;
    readonly deadlineAt: MonotonicMs;
    readonly members: readonly NodeId[];
    readonly now: MonotonicMs;
  }
  /** An isolated run ended without reaching an upstream. */
  | {
    readonly type: "trial-dropped";
    readonly fingerprint: Fingerprint;
    readonly trial: string;
    readonly members: readonly NodeId[];
    readonly now: MonotonicMs;
  }
  /** A call ended, and its endpoint has not crashed. */
  | {
    readonly type: "ended";
    readonly endpoint: EndpointId;
    readonly call: number;
    /**
     * True when the answer was complete. False when the caller disconnected or
     * no complete answer arrived.
     */
    readonly isWhole: boolean;
    readonly members: readonly NodeId[];
    readonly now: MonotonicMs;
  }
  /** An endpoint on this VM no longer accepts connections. */
  | {
    readonly type: "crashed";
    readonly endpoint: EndpointId;
    readonly members: readonly NodeId[];
    readonly now: MonotonicMs;
  }
  /** Time passed. */
  | {
    readonly type: "ticked";
    readonly members: readonly NodeId[];
    readonly now: MonotonicMs;
  };

/** The type values and keys are stored in recorded traces. */
export type QuarantineEffect =
  | {
    readonly type: "send";
    readonly to: NodeId;
    readonly message: QuarantineMessage;
  }
  /** The call may run, alone or as usual, or is refused without running. */
  | {
    readonly type: "resolve";
    readonly trial: string;
    readonly verdict: IsolatedRunVerdict;
  }
  /**
   * Calls that the crash of the endpoint broke may be answered: every other
   * member has confirmed the crash, the wait for confirmations has ended, or no
   * confirmation is needed.
   */
  | { readonly type: "told"; readonly endpoint: EndpointId };

/** Answer to a call that asked for an isolated run. */
export type IsolatedRunVerdict =
  /** The call may run, and no other call runs at its endpoint meanwhile. */
  | { readonly type: "run-alone"; readonly trial: string }
  /** The request has been cleared: the call runs as usual. */
  | { readonly type: "run" }
  /** The request is quarantined: the call is refused. */
  | { readonly type: "convicted" }
  /** No isolated run was granted in time, or too many calls wait. */
  | { readonly type: "busy" };

/** Creates the state of a node without any crash. */
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
    ownGrants: new Set(),
    endpoints: new Map(),
    crashUpdates: new Map(),
  };
}
