/**
 * Types that every slice shares: identities, configuration entries and
 * what a node knows of upstreams.
 * @module
 */

/** Peer address `host:port` of a node. Stable across restarts of its process. */
export type NodeId = string;

/** `host:port` at which an upstream takes calls. */
export type EndpointId = string;

/** Offset of a record in the platform's log. Versions are offsets. */
export type Offset = number;

/** Milliseconds of a monotonic clock, for durations only. */
export type MonotonicMs = number;

/** Milliseconds since 1970 on this VM's wall clock, which may be wrong. */
export type WallMs = number;

/** What a node says of itself when it meets a peer. */
export interface NodeInfo {
  readonly id: NodeId;
  readonly domain: string;
  readonly region: string;
  /** Unique for each start of the process. */
  readonly boot: string;
}

/** Readiness of an endpoint as its home sees it. */
export const EndpointState = {
  Ready: "ready",
  Draining: "draining",
} as const;
export type EndpointState = typeof EndpointState[keyof typeof EndpointState];

/** An upstream's announcement of itself to its home. */
export interface Announcement {
  readonly endpoint: EndpointId;
  readonly service: string;
  readonly version: string;
  /** Calls that the upstream runs at once. */
  readonly slots: number;
  /** Connections that the upstream accepts. */
  readonly connections: number;
  readonly state: EndpointState;
  /** Reported load, 0 to 1. May lag or mislead. */
  readonly load: number;
  /** Reported health. May lag or mislead. */
  readonly healthy: boolean;
}

/** The endpoints of one service version behind one home, as peers know it. */
export interface HomeCapacity {
  readonly home: NodeId;
  readonly slots: number;
  /** Monotonic time at which this node first saw it ready. */
  readonly readySince: MonotonicMs;
}

/** What a node knows of a service version in another failure domain. */
export interface RemoteCapacity {
  readonly domain: string;
  readonly region: string;
  readonly slots: number;
  /** Nodes there that accept forwarded calls. */
  readonly gateways: readonly NodeId[];
}

/** Read-only view of live upstreams, kept by `membership`. */
export interface Directory {
  homes(service: string, version: string): readonly HomeCapacity[];
  remotes(service: string, version: string): readonly RemoteCapacity[];
  /** True when any home or remote domain has a ready endpoint. */
  isPresent(service: string, version: string): boolean;
}
