/**
 * Types that all folders share: identities, times, and the endpoints and
 * capacity of upstreams. The home node of an endpoint is the node on the same
 * VM, which alone opens connections to it.
 * @module
 */

/**
 * Peer address `host:port` of a node. It stays the same when the node's process
 * restarts.
 */
export type NodeId = string;

/** `host:port` at which an upstream accepts calls. */
export type EndpointId = string;

/**
 * Offset of a record in the platform's log. Configuration versions are offsets.
 */
export type Offset = number;

/** Milliseconds of a monotonic clock. Only differences have a meaning. */
export type MonotonicMs = number;

/** Milliseconds since 1970 on this VM's wall clock, which may be wrong. */
export type WallMs = number;

/** Description of a node that it sends to a peer on first contact. */
export interface NodeInfo {
  readonly id: NodeId;
  readonly domain: string;
  readonly region: string;
  /** Unique for each start of the process. */
  readonly boot: string;
}

/** Readiness of an endpoint, as its home node reports it. */
export const EndpointState = {
  Ready: "ready",
  Draining: "draining",
} as const;
export type EndpointState = typeof EndpointState[keyof typeof EndpointState];

/** Announcement that an upstream sends to its home node. */
export interface Announcement {
  readonly endpoint: EndpointId;
  readonly service: string;
  readonly version: string;
  /** Maximum number of calls that the upstream runs concurrently. */
  readonly slots: number;
  /** Maximum number of connections that the upstream accepts. */
  readonly connections: number;
  readonly state: EndpointState;
  /** Load as reported by the upstream, 0 to 1. May be outdated or wrong. */
  readonly load: number;
  /** Health as reported by the upstream. May be outdated or wrong. */
  readonly healthy: boolean;
}

/** Endpoints of one service version behind one home node, as known to peers. */
export interface HomeCapacity {
  readonly home: NodeId;
  readonly slots: number;
  /** When this node first learned that the capacity is ready. */
  readonly readySince: MonotonicMs;
}

/** Capacity of a service version in another failure domain. */
export interface RemoteCapacity {
  readonly domain: string;
  readonly region: string;
  readonly slots: number;
  /** Nodes in that failure domain that accept forwarded calls. */
  readonly gateways: readonly NodeId[];
}

/** Read-only view of live upstreams, kept by `membership`. */
export interface Directory {
  homes(service: string, version: string): readonly HomeCapacity[];
  remotes(service: string, version: string): readonly RemoteCapacity[];
  /**
   * Returns whether any home node or other failure domain has a ready endpoint.
   */
  isPresent(service: string, version: string): boolean;
}
