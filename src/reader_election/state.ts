/**
 * What a node knows of how the nodes of its failure domain read a topic.
 * @module
 */
import type { MonotonicMs, NodeId, Offset } from "../core/types.ts";

/** How a node stands with the store. The figures travel in pings. */
export const ReaderStatus = {
  /** It leaves reading to others. */
  Idle: 0,
  Healthy: 1,
  /** Its reads fail or hang. */
  Failing: 2,
} as const;
export type ReaderStatus = typeof ReaderStatus[keyof typeof ReaderStatus];

/** Where records came from. */
export const RecordSource = {
  Store: "store",
  /** A node of the own failure domain. */
  SameDomain: "near",
  OtherDomain: "far",
} as const;
export type RecordSource = typeof RecordSource[keyof typeof RecordSource];

/** What a peer last said of itself. */
export interface PeerStatus {
  /** Failure domain, once its row is known. */
  readonly domain: string | undefined;
  readonly readerStatus: ReaderStatus;
  readonly end: Offset;
  readonly receivedAt: MonotonicMs;
}

/** A peer that has read further than this node. */
export interface NewerPeer {
  readonly node: NodeId;
  readonly isSameDomain: boolean;
  /** When it was first found ahead, or last asked. */
  readonly since: MonotonicMs;
  readonly asked: number;
}

/** Records that a node before this one is expected to pass on. */
export interface ExpectedUpdate {
  readonly from: Offset;
  readonly dueAt: MonotonicMs;
}

export interface ReaderElectionState {
  readonly self: NodeId;
  readonly domain: string;
  readonly peers: Map<NodeId, PeerStatus>;
  status: ReaderStatus;
  /** Whether this node's reads go on. */
  isOn: boolean;
  startedAt: MonotonicMs;
  failedAt: MonotonicMs;
  /** This node reads until then, whoever else does. */
  forcedUntil: MonotonicMs;
  /** Since when no other node of the domain is known to read. */
  noReaderSince: MonotonicMs | undefined;
  /** How far the topic was read. Negative before the first read. */
  end: Offset;
  newerPeer: NewerPeer | undefined;
  pending: ExpectedUpdate | undefined;
}

export type ReaderElectionEvent =
  | { readonly type: "started"; readonly now: MonotonicMs }
  | {
    readonly type: "peer-heard";
    readonly node: NodeId;
    readonly domain: string | undefined;
    readonly readerStatus: ReaderStatus;
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

export type ReaderElectionEffect =
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

/** Options of `createReaderElectionState`. */
export interface CreateReaderElectionStateOptions {
  readonly self: NodeId;
  readonly domain: string;
}

export function createReaderElectionState(
  opts: CreateReaderElectionStateOptions,
): ReaderElectionState {
  return {
    self: opts.self,
    domain: opts.domain,
    peers: new Map(),
    status: ReaderStatus.Idle,
    isOn: false,
    startedAt: -Infinity,
    failedAt: -Infinity,
    forcedUntil: -Infinity,
    noReaderSince: undefined,
    end: -1,
    newerPeer: undefined,
    pending: undefined,
  };
}
