/**
 * Route tables and which of them is in force.
 * @module
 */

/** A service of a route and its share of the route's requests. */
export interface RoutePart {
  readonly service: string;
  /** Relative to the sum over the route's parts. */
  readonly weight: number;
}

/** How requests of one host and path prefix are served. */
export interface Route {
  readonly name: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  /** True when a request may run more than once. */
  readonly isIdempotent: boolean;
  /** Longest time that a request is kept waiting, in milliseconds. */
  readonly timeoutMs: number;
  /** Latency objective in milliseconds. */
  readonly objectiveMs: number;
  /** Endpoints that one request may be sent to, at most. */
  readonly maxAttempts: number;
  /** 0 is the most urgent. */
  readonly urgency: number;
  readonly parts: readonly RoutePart[];
}

/** What a client may send, and how long it may take. */
export interface ClientLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerMs: number;
  /** Idle time of a kept connection in milliseconds. */
  readonly idleMs: number;
}

/** Terms of a service that hold for each of its endpoints. */
export interface ServiceTerms {
  /** Connections that an endpoint accepts from all callers. */
  readonly maxConnections: number;
  readonly healthPath: string;
}

/** One whole configuration. Immutable; replaced as a whole. */
export interface RouteTable {
  /** Operator's version. Grows in uneven steps. */
  readonly version: number;
  /** Routes by host, then by path prefix. */
  readonly hosts: ReadonlyMap<string, ReadonlyMap<string, Route>>;
  readonly services: ReadonlyMap<string, ServiceTerms>;
  readonly limits: ClientLimits;
}

/** The table in force, and where each route stands in its rotation. */
export interface RoutesState {
  table: RouteTable | undefined;
  /** Credits of the parts of each split route, by route name. */
  readonly credits: Map<string, PartCredits>;
}

/** Smooth weighted rotation over the parts of one route. */
export interface PartCredits {
  readonly parts: readonly RoutePart[];
  readonly credits: number[];
}

export function createRoutesState(): RoutesState {
  return { table: undefined, credits: new Map() };
}
