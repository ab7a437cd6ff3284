/**
 * Running and waiting calls at the endpoints of one home node, the node on the
 * same VM as the endpoints.
 * @module
 */
import type { EndpointId, MonotonicMs } from "../core/types.ts";

/** Load of one endpoint. */
export interface EndpointLoad {
  running: number;
  waiting: number;
  /** Waiting calls by plan. A plan without waiting calls has no entry. */
  waitingByPlan: Map<string, number>;
  /**
   * Virtual finish time of the last admitted call by plan, as in weighted fair
   * queuing. Cleared when no call waits.
   */
  finishTagByPlan: Map<string, number>;
  /** Virtual time: the highest start tag of a call that has left the queue. */
  virtualNow: number;
  /** Moving mean of the run times, in milliseconds. */
  meanMs: number;
  /** Last time at which a call arrived and no other call waited. */
  emptyAt: MonotonicMs;
}

export interface AdmissionState {
  readonly endpoints: Map<EndpointId, EndpointLoad>;
}

/** The type values are stored in recorded traces. */
export type AdmissionEvent =
  /** A call arrived and asks for a slot. */
  | {
    readonly type: "asked";
    readonly endpoint: EndpointId;
    readonly plan: string;
    /** Number of calls that may run concurrently at the endpoint. */
    readonly slots: number;
    /** Time until the call's deadline, in milliseconds. */
    readonly leftMs: number;
    readonly now: MonotonicMs;
  }
  /** A waiting call started, or left the queue when `isRun` is false. */
  | {
    readonly type: "started";
    readonly endpoint: EndpointId;
    readonly plan: string;
    /** Start tag from the `admit` effect. */
    readonly tag: number;
    readonly isRun: boolean;
  }
  /** A running call ended. */
  | {
    readonly type: "ended";
    readonly endpoint: EndpointId;
    readonly tookMs: number;
  }
  /** The endpoint has been removed. */
  | { readonly type: "gone"; readonly endpoint: EndpointId };

export type AdmissionEffect =
  /** The call joins the queue. The call with the lowest tag starts first. */
  | { readonly type: "admit"; readonly tag: number }
  | { readonly type: "refuse"; readonly reason: string };

export function createAdmissionState(): AdmissionState {
  return { endpoints: new Map() };
}
