/**
 * State of the endpoint on this node's VM.
 * @module
 */
import type { MonotonicMs, WallMs } from "../core/types.ts";

export const InstancePhase = {
  Ready: "ready",
  Draining: "draining",
} as const;
export type InstancePhase = typeof InstancePhase[keyof typeof InstancePhase];

/** Description that an endpoint sends of itself in one ping. */
export interface InstancePing {
  /**
   * Id of the instance. It usually changes when the endpoint restarts, but may
   * be reused.
   */
  readonly id: string;
  /**
   * When the endpoint started, by the endpoint's clock. The instance that
   * started last is the current one.
   */
  readonly bornAt: WallMs;
  /** Increases with each ping of an instance. */
  readonly seq: number;
  readonly service: string;
  /** Address at which the endpoint accepts calls. */
  readonly address: string;
  /** Version of the endpoint's software. */
  readonly version: string;
  /** Maximum number of requests that the endpoint runs concurrently. */
  readonly slots: number;
  readonly phase: InstancePhase;
  /** Remaining time of the endpoint's cold start, in milliseconds. */
  readonly coldMs: number;
}

/** One run of the endpoint's process, as described by its newest ping. */
export interface Instance extends Omit<InstancePing, "coldMs"> {
  /** Time until which the endpoint is expected to be slow after its start. */
  readonly coldUntil: MonotonicMs;
  /**
   * When the newest ping arrived. Keeps its name: an instance is spread into
   * the log line "endpoint started", so `heardAt` is a log key.
   */
  readonly heardAt: MonotonicMs;
}

/** An instance that left or drains, and gets no more calls. */
export interface StoppedInstance {
  readonly id: string;
  readonly bornAt: WallMs;
}

/** Start of this process, and the terms by which it judges older endpoints. */
export interface ProcessStart {
  readonly at: MonotonicMs;
  /** The same time by the wall clock of the VM, which the endpoint shares. */
  readonly wallAt: WallMs;
  /** Time between two pings of an endpoint, in milliseconds. */
  readonly pingIntervalMs: number;
  /**
   * Time after the start in which a single ping is enough to use the endpoint,
   * in milliseconds.
   */
  readonly unprovenMs: number;
}

/** What the pings say of the current instance. */
export type Presence =
  /** It has not left. */
  | { readonly type: "proven" }
  /**
   * It may have left while an earlier process ran. It is used until `until`
   * unless another ping arrives.
   */
  | {
    readonly type: "assumed";
    /** When its first ping arrived. */
    readonly since: MonotonicMs;
    readonly until: MonotonicMs;
    /** Whether it answered that it leaves or fails. */
    readonly isDenied: boolean;
  }
  /** It may have left, and is not used before its next ping. */
  | {
    readonly type: "overdue";
    readonly since: MonotonicMs;
    readonly isDenied: boolean;
  };

export interface LocalEndpointState {
  readonly start: ProcessStart;
  /** Whether `left` holds what earlier processes of this node were told. */
  isInformed: boolean;
  /** Presence of the current instance. */
  presence: Presence;
  /** Undefined before the first ping and after a leave message. */
  current: Instance | undefined;
  /**
   * Start times of instances that stopped, by instance id. Pings with such an
   * id and the same or an earlier start time are ignored.
   */
  readonly left: Map<string, WallMs>;
}

export type LocalEndpointEvent =
  /** A ping arrived. */
  | {
    readonly type: "pinged";
    readonly ping: InstancePing;
    readonly now: MonotonicMs;
  }
  /** A leave message arrived. */
  | {
    readonly type: "left";
    readonly id: string;
    /** When the leave message arrived, by this node's wall clock. */
    readonly saidAt: WallMs;
  }
  /**
   * Another node sent the stopped instances that an earlier process of this
   * node had announced to it.
   */
  | {
    readonly type: "stopped-received";
    readonly gone: readonly StoppedInstance[];
    /** Whether no other instance had stopped. */
    readonly isComplete: boolean;
  }
  /** The instance answered to a health request whether it leaves or fails. */
  | {
    readonly type: "health-answered";
    readonly id: string;
    readonly isDenied: boolean;
    readonly now: MonotonicMs;
  }
  /** Time has passed without a ping. */
  | { readonly type: "presence-checked"; readonly now: MonotonicMs };

/** What an event changed. */
export type LocalEndpointChange =
  /** The event was ignored, or did not concern the current instance. */
  | { readonly type: "none"; readonly reason: string }
  /** A ping changed only times and counts of the current instance. */
  | { readonly type: "refreshed" }
  /** An instance started, or its service, version or slots changed. */
  | { readonly type: "started"; readonly instance: Instance }
  | { readonly type: "draining"; readonly instance: Instance }
  /** The current instance is not used before its next ping. */
  | { readonly type: "overdue"; readonly instance: Instance }
  /** The current instance is used again. */
  | { readonly type: "resumed"; readonly instance: Instance }
  /** An instance left, which need not be the current one. */
  | { readonly type: "left"; readonly id: string };

export function createLocalEndpointState(
  start: ProcessStart,
): LocalEndpointState {
  return {
    start,
    isInformed: false,
    presence: { type: "proven" },
    current: undefined,
    left: new Map(),
  };
}
