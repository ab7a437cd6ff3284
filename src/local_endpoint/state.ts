/**
 * The endpoint beside this node.
 * @module
 */
import type { MonotonicMs, WallMs } from "../core/types.ts";

export const InstancePhase = {
  Ready: "ready",
  Draining: "draining",
} as const;
export type InstancePhase = typeof InstancePhase[keyof typeof InstancePhase];

/** What an endpoint says of itself in one ping. */
export interface InstancePing {
  /** Mostly new at each start of the endpoint. */
  readonly id: string;
  /** Start of the endpoint by its own clock. Later starts go first. */
  readonly bornAt: WallMs;
  /** Grows with each ping of one start. */
  readonly seq: number;
  readonly service: string;
  /** Where it takes calls. */
  readonly address: string;
  /** Version of the endpoint's software. */
  readonly version: string;
  /** Requests that it runs at once. */
  readonly slots: number;
  readonly phase: InstancePhase;
  /** How much longer the endpoint is slow after its start, in milliseconds. */
  readonly coldMs: number;
}

/** The endpoint as last heard of. */
export interface Instance extends Omit<InstancePing, "coldMs"> {
  readonly coldUntil: MonotonicMs;
  /**
   * When the newest ping arrived. Keeps its name: an instance is spread into
   * the log line "endpoint started", so `heardAt` is a log key.
   */
  readonly heardAt: MonotonicMs;
}

/** A start of an endpoint that takes no more calls. */
export interface StoppedInstance {
  readonly id: string;
  readonly bornAt: WallMs;
}

export interface LocalEndpointState {
  /** Undefined before the first ping and after a leave. */
  current: Instance | undefined;
  /** Starts of endpoints that left, by id. They never come back. */
  readonly left: Map<string, WallMs>;
}

export type LocalEndpointEvent =
  | {
    readonly type: "pinged";
    readonly ping: InstancePing;
    readonly now: MonotonicMs;
  }
  | {
    readonly type: "left";
    readonly id: string;
    /** Time of day at which the endpoint said so. */
    readonly saidAt: WallMs;
  }
  /** An earlier process at this address has confirmed that they leave. */
  | { readonly type: "recalled"; readonly gone: readonly StoppedInstance[] };

/** What a ping or a leave changed. */
export type LocalEndpointChange =
  | { readonly type: "none"; readonly reason: string }
  /** Only times and counts are newer. */
  | { readonly type: "heard" }
  | { readonly type: "started"; readonly instance: Instance }
  | { readonly type: "draining"; readonly instance: Instance }
  | { readonly type: "left"; readonly id: string };

export function createLocalEndpointState(): LocalEndpointState {
  return { current: undefined, left: new Map() };
}
