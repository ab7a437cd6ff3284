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
  /** Usually new at each start of the endpoint. */
  readonly id: string;
  /**
   * When the endpoint started, by its own clock. The latest start is current.
   */
  readonly bornAt: WallMs;
  /** Increases with each ping of one start. */
  readonly seq: number;
  readonly service: string;
  /** Address at which the endpoint accepts calls. */
  readonly address: string;
  /** Version of the endpoint's software. */
  readonly version: string;
  /** Requests that the endpoint runs at once. */
  readonly slots: number;
  readonly phase: InstancePhase;
  /** Remaining time of the endpoint's cold start, in milliseconds. */
  readonly coldMs: number;
}

/** One start of the endpoint, as described by its newest ping. */
export interface Instance extends Omit<InstancePing, "coldMs"> {
  /** Until then the endpoint is expected to be slow from its cold start. */
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

export interface LocalEndpointState {
  /** Undefined before the first ping and after a leave message. */
  current: Instance | undefined;
  /**
   * Start times of instances that left, by id. Pings of these starts, and of
   * earlier ones with the same id, are ignored.
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
    /** Wall clock of this node when the leave message arrived. */
    readonly saidAt: WallMs;
  }
  /** Another node sent the instances that an earlier process here saw stop. */
  | {
    readonly type: "stopped-received";
    readonly gone: readonly StoppedInstance[];
  };

/** What an event changed. */
export type LocalEndpointChange =
  /** The event was ignored, or did not concern the current instance. */
  | { readonly type: "none"; readonly reason: string }
  /** A ping changed only times and counts of the current instance. */
  | { readonly type: "refreshed" }
  /** An instance started, or its service, version or slots changed. */
  | { readonly type: "started"; readonly instance: Instance }
  | { readonly type: "draining"; readonly instance: Instance }
  | { readonly type: "left"; readonly id: string };

export function createLocalEndpointState(): LocalEndpointState {
  return { current: undefined, left: new Map() };
}
