/**
 * Route tables and the state of routing.
 * @module
 */

import type { AccountTable } from "../accounts/state.ts";

/** A service of a route and its weight among the services of the route. */
export interface WeightedService {
  readonly service: string;
  /** Relative to the sum of the weights of the route's parts. */
  readonly weight: number;
}

/** How requests of one host and path prefix are served. */
export interface Route {
  readonly name: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  /** Whether a request may run more than once. */
  readonly isIdempotent: boolean;
  /** Maximum time until a request is answered, in milliseconds. */
  readonly timeoutMs: number;
  /** Latency objective in milliseconds. */
  readonly objectiveMs: number;
  /** Maximum number of endpoints that one request is sent to. */
  readonly maxAttempts: number;
  /** 0 is the most urgent. */
  readonly urgency: number;
  readonly parts: readonly WeightedService[];
  /** Whether requests need no API key, though the table has accounts. */
  readonly isAnonymous?: boolean;
}

/** Limits on the size and time of client requests. */
export interface ClientLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  /** Time to receive the headers of a request, in milliseconds. */
  readonly headerMs: number;
  /** Time that an idle connection is kept open, in milliseconds. */
  readonly idleMs: number;
}

/** Settings of a service that apply to each of its endpoints. */
export interface ServiceTerms {
  /**
   * Maximum number of connections that an endpoint accepts from all callers.
   */
  readonly maxConnections: number;
  readonly healthCheckPath: string;
  /**
   * Requests per second that an endpoint tolerates while it is cold. Undefined
   * or 0 if a cold endpoint needs no limit.
   */
  readonly coldPerSecond?: number | undefined;
}

/** A complete configuration. Immutable: a change replaces the whole table. */
export interface RouteTable {
  /** Configuration version of the operator. Versions increase, with gaps. */
  readonly version: number;
  /** Routes by host, then by path prefix. */
  readonly hosts: ReadonlyMap<string, ReadonlyMap<string, Route>>;
  readonly services: ReadonlyMap<string, ServiceTerms>;
  readonly limits: ClientLimits;
  /** Undefined if requests need no API key. */
  readonly accounts?: AccountTable | undefined;
}

/** Current route table and the round-robin state of split routes. */
export interface RoutesState {
  /** Undefined until the first table arrives. */
  table: RouteTable | undefined;
  /** Round-robin state of each split route, by route name. */
  readonly remainders: Map<string, RouteRemainders>;
}

/** State of the smooth weighted round-robin over the parts of one route. */
export interface RouteRemainders {
  readonly parts: readonly WeightedService[];
  /** Weighted round-robin remainder of each part, in the order of `parts`. */
  readonly remainders: number[];
}

export function createRoutesState(): RoutesState {
  return { table: undefined, remainders: new Map() };
}
