/**
 * State, events and effects of the choice of nodes that read the operators'
 * topic.
 * @module
 */
import type { MonotonicMs, NodeId, Offset } from "../core/types.ts";

/** Status of a node's reads from the store. The numbers are sent in pings. */
export const ReaderStatus = {
  /** The node does not read, or has no result yet. */
  Idle: 0,
  /** The node's reads succeed. */
  Healthy: 1,
  /** The node's reads fail or hang. */
  Failing: 2,
} as const;
export type ReaderStatus = typeof ReaderStatus[keyof typeof ReaderStatus];

/** Where records were received from. */
export const RecordSource = {
  Store: "store",
  /** A node of the same failure domain. */
  SameDomain: "near",
  /** A node of another failure domain. */
  OtherDomain: "far",
} as const;
export type RecordSource = typeof RecordSource[keyof typeof RecordSource];

/** Status of a peer, from its last message. */
export interface PeerStatus {
  /** Failure domain of the peer. Undefined until its gossip row is received. */
  readonly domain: string | undefined;
  readonly readerStatus: ReaderStatus;
  /** Offset up to which the peer has the topic's records. */
  readonly end: Offset;
  readonly receivedAt: MonotonicMs;
}

/** A peer that has newer records than this node. */
export interface NewerPeer {
  readonly node: NodeId;
  readonly isSameDomain: boolean;
  /** When newer records were first found, or last requested. */
  readonly since: MonotonicMs;
  /** Number of requests that have been sent for the newer records. */
  readonly requestCount: number;
}

/** Records that a preceding reader is expected to forward. */
export interface ExpectedUpdate {
  /** Offset after which the records begin. */
  readonly from: Offset;
  /** When this node forwards them instead. */
  readonly dueAt: MonotonicMs;
}

export interface ReaderElectionState {
  readonly self: NodeId;
  readonly domain: string;
  readonly peers: Map<NodeId, PeerStatus>;
  status: ReaderStatus;
  /** Whether this node reads. */
  isOn: boolean;
  startedAt: MonotonicMs;
  failedAt: MonotonicMs;
  /** Time until which this node reads, regardless of other readers. */
  forcedUntil: MonotonicMs;
  /** Since when no other node of the failure domain is known to read. */
  noReaderSince: MonotonicMs | undefined;
  /**
   * Offset up to which this node has the records. Negative before the first
   * read.
   */
  end: Offset;
  newerPeer: NewerPeer | undefined;
  pending: ExpectedUpdate | undefined;
}

export type ReaderElectionEvent =
  | { readonly type: "started"; readonly now: MonotonicMs }
  | {
    readonly type: "peer-status-received";
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
  /** This node's reads from the store failed, or succeed again. */
  | {
    readonly type: "store-changed";
    readonly isHealthy: boolean;
    readonly now: MonotonicMs;
  }
  /** Records were applied. `from` is the offset of this node before them. */
  | {
    readonly type: "records-applied";
    readonly source: RecordSource;
    readonly from: Offset;
    readonly end: Offset;
    readonly now: MonotonicMs;
  }
  | { readonly type: "ticked"; readonly now: MonotonicMs };

export type ReaderElectionEffect =
  /** Start reading. */
  | { readonly type: "read" }
  /** Stop reading. */
  | { readonly type: "stop" }
  /** Abort the pending read, and read on a new connection. */
  | { readonly type: "reconnect" }
  /** Send this node's status to the failure domain. */
  | { readonly type: "send-status" }
  /** Request the newest record of each key from a node. */
  | { readonly type: "request"; readonly node: NodeId }
  /**
   * Tell the neighbors of the newest offset. They request the records after it
   * that they lack, those after `from` among them.
   */
  | { readonly type: "forward"; readonly from: Offset };

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
