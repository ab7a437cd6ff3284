/**
 * What a node knows of how the nodes of its failure domain read a topic.
 * @module
 */
import type { MonotonicMs, NodeId, Offset } from "../core/types.ts";

/** How a node stands with the store. The figures travel in pings. */
export const Reading = {
  /** It leaves reading to others. */
  Idle: 0,
  Healthy: 1,
  /** Its reads fail or hang. */
  Failing: 2,
} as const;
export type Reading = typeof Reading[keyof typeof Reading];

/** Where records came from. */
export const RecordSource = {
  Store: "store",
  /** A node of the own failure domain. */
  Near: "near",
  Far: "far",
} as const;
export type RecordSource = typeof RecordSource[keyof typeof RecordSource];

/** What a peer last said of itself. */
export interface PeerReading {
  /** Failure domain, once its row is known. */
  readonly domain: string | undefined;
  readonly reading: Reading;
  readonly end: Offset;
  readonly heardAt: MonotonicMs;
}

/** A peer that has read further than this node. */
export interface Ahead {
  readonly node: NodeId;
  readonly isNear: boolean;
  /** When it was first found ahead, or last asked. */
  readonly since: MonotonicMs;
  readonly asked: number;
}

/** Records that a node before this one is expected to pass on. */
export interface Owed {
  readonly from: Offset;
  readonly dueAt: MonotonicMs;
}

export interface ReadingState {
  readonly self: NodeId;
  readonly domain: string;
  readonly peers: Map<NodeId, PeerReading>;
  reading: Reading;
  /** Whether this node's reads go on. */
  isOn: boolean;
  startedAt: MonotonicMs;
  failedAt: MonotonicMs;
  /** This node reads until then, whoever else does. */
  insistsUntil: MonotonicMs;
  /** Since when no other node of the domain is known to read. */
  unreadSince: MonotonicMs | undefined;
  /** How far the topic was read. Negative before the first read. */
  end: Offset;
  ahead: Ahead | undefined;
  owed: Owed | undefined;
}

export type ReadingEvent =
  | { readonly type: "started"; readonly now: MonotonicMs }
  | {
    readonly type: "peer-heard";
    readonly node: NodeId;
    readonly domain: string | undefined;
    readonly reading: Reading;
    readonly end: Offset;
    readonly now: MonotonicMs;
  }
  | {
    readonly type: "peer-lost";
    readonly node: NodeId;
    readonly now: MonotonicMs;
  }
  /** The store was lost or regained by this node's reads. */
  | {
    readonly type: "store-changed";
    readonly isHealthy: boolean;
    readonly now: MonotonicMs;
  }
  /** Records were taken. `from` is how far this node was before. */
  | {
    readonly type: "records-taken";
    readonly source: RecordSource;
    readonly from: Offset;
    readonly end: Offset;
    readonly now: MonotonicMs;
  }
  | { readonly type: "ticked"; readonly now: MonotonicMs };

export type ReadingEffect =
  | { readonly type: "read" }
  | { readonly type: "rest" }
  /** Give up the read that waits, and read on a new connection. */
  | { readonly type: "reconnect" }
  /** Tell the failure domain how this node stands with the store. */
  | { readonly type: "tell" }
  /** Ask a node for everything that it has read. */
  | { readonly type: "ask"; readonly node: NodeId }
  /**
   * Send the failure domain what was read after an offset, and tell the first
   * nodes of the others how far records go.
   */
  | { readonly type: "pass-on"; readonly from: Offset };

/** Options of `createReadingState`. */
export interface CreateReadingStateOptions {
  readonly self: NodeId;
  readonly domain: string;
}

export function createReadingState(
  opts: CreateReadingStateOptions,
): ReadingState {
  return {
    self: opts.self,
    domain: opts.domain,
    peers: new Map(),
    reading: Reading.Idle,
    isOn: false,
    startedAt: -Infinity,
    failedAt: -Infinity,
    insistsUntil: -Infinity,
    unreadSince: undefined,
    end: -1,
    ahead: undefined,
    owed: undefined,
  };
}
