/**
 * State, events and effects of distribution: this node's position in the log,
 * and the newest records that it can send to peers. Events and effects are
 * written to recorded traces, so their keys and values are fixed.
 * @module
 */
import type { EncodedSnapshot } from "../config_log/encode_snapshot.ts";
import type { LogRecord } from "../config_log/messages.ts";
import type { MonotonicMs, NodeId, Offset } from "../core/types.ts";
import type { Ring } from "../overlay/build_ring.ts";
import type { DistributionMessage } from "./messages.ts";

/** What distribution uses of membership at the time of an event. */
export interface OverlayView {
  /** Live members of this domain, this node included. */
  readonly ring: Ring;
  /** Members that follow the log. The first one broadcasts what it reads. */
  readonly readers: readonly NodeId[];
  /** Nodes of other domains that may have newer records. */
  readonly gateways: readonly NodeId[];
}

export interface DistributionState {
  readonly self: NodeId;
  /** Offset of the next record to fold (apply to the state). */
  next: Offset;
  /** Digest of the state at `next`, empty before the first fold. */
  digest: string;
  isReader: boolean;
  /** Newest records folded, oldest first. */
  tail: LogRecord[];
  /** Characters held in `tail`. */
  tailLength: number;
  /** Digests at recent offsets, oldest first, to compare with a peer's. */
  recentDigests: Map<Offset, string>;
  /** Fetch in progress. */
  fetch: { readonly to: NodeId; readonly at: MonotonicMs } | undefined;
  /** Records that this reader has read and no node has broadcast yet. */
  pendingBroadcast:
    | { readonly from: Offset; readonly at: MonotonicMs }
    | undefined;
  /** True from a mismatch of digests until a snapshot replaces the state. */
  isDiverged: boolean;
  /** Snapshots that may still be sent in this tick. */
  snapshotsLeft: number;
}

export type DistributionEvent =
  | {
    readonly type: "ticked";
    readonly now: MonotonicMs;
    readonly view: OverlayView;
    /** Random number from 0 to 1. */
    readonly random: number;
  }
  /** Records read from the log by this node. */
  | {
    readonly type: "read";
    readonly now: MonotonicMs;
    readonly view: OverlayView;
    readonly records: readonly LogRecord[];
  }
  | {
    readonly type: "received";
    readonly now: MonotonicMs;
    readonly view: OverlayView;
    readonly from: NodeId;
    readonly message: DistributionMessage;
  }
  /** Records were folded. If `records` is empty, a snapshot was loaded. */
  | {
    readonly type: "folded";
    readonly next: Offset;
    readonly digest: string;
    readonly records: readonly LogRecord[];
  };

export type DistributionEffect =
  | {
    readonly type: "send";
    readonly to: NodeId;
    readonly message: DistributionMessage;
  }
  /** Start or stop following the log. */
  | { readonly type: "follow"; readonly isReader: boolean }
  /** Apply the records to the state, in order. */
  | { readonly type: "fold"; readonly records: readonly LogRecord[] }
  | {
    readonly type: "load-snapshot";
    readonly from: NodeId;
    readonly snapshot: EncodedSnapshot;
  }
  | { readonly type: "send-snapshot"; readonly to: NodeId }
  /** A peer at the same offset has a state with another digest. */
  | {
    readonly type: "diverged";
    readonly peer: NodeId;
    readonly next: Offset;
    readonly own: string;
    readonly theirs: string;
  };

/** Maximum number of snapshots that a node sends in one tick. */
export const SNAPSHOTS_PER_TICK = 2;

/** Creates the state of a node that has folded nothing. */
export function createDistributionState(
  self: NodeId,
  next: Offset,
): DistributionState {
  return {
    self,
    next,
    digest: "",
    isReader: false,
    tail: [],
    tailLength: 0,
    recentDigests: new Map(),
    fetch: undefined,
    pendingBroadcast: undefined,
    isDiverged: false,
    snapshotsLeft: SNAPSHOTS_PER_TICK,
  };
}
