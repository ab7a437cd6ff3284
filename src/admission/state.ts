/**
 * Calls that run and wait at the endpoints of one home.
 * @module
 */
import type { EndpointId, MonotonicMs } from "../core/types.ts";

/** Calls at one endpoint. */
export interface EndpointLoad {
  running: number;
  waiting: number;
  /** Waiting calls of each plan. A plan without any has no entry. */
  waitingOf: Map<string, number>;
  /** Virtual finish time of the last call of each waiting plan. */
  finishOf: Map<string, number>;
  /** Virtual time: start tag of the call that started last. */
  virtualNow: number;
  /** Recent mean time of a call, in milliseconds. */
  meanMs: number;
  /** Last time at which a call found no other waiting. */
  emptyAt: MonotonicMs;
}

export interface AdmissionState {
  readonly endpoints: Map<EndpointId, EndpointLoad>;
}

export type AdmissionEvent =
  | {
    readonly type: "asked";
    readonly endpoint: EndpointId;
    readonly plan: string;
    /** Calls that may run at once now. */
    readonly slots: number;
    /** Time left for the call, in milliseconds. */
    readonly leftMs: number;
    readonly now: MonotonicMs;
  }
  /** A waiting call got its slot, or left the queue when `isRun` is false. */
  | {
    readonly type: "started";
    readonly endpoint: EndpointId;
    readonly plan: string;
    /** Start tag that `asked` gave. */
    readonly tag: number;
    readonly isRun: boolean;
  }
  | {
    readonly type: "ended";
    readonly endpoint: EndpointId;
    readonly tookMs: number;
  }
  | { readonly type: "gone"; readonly endpoint: EndpointId };

export type AdmissionEffect =
  /** Lowest tag starts first. */
  | { readonly type: "admit"; readonly tag: number }
  | { readonly type: "refuse"; readonly reason: string };

export function createAdmissionState(): AdmissionState {
  return { endpoints: new Map() };
}
