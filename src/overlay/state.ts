/**
 * State, events and effects of broadcasts that this node sends or forwards and
 * that peers have not confirmed yet.
 * @module
 */
import type { MonotonicMs, NodeId } from "../core/types.ts";
import type { Ring } from "./build_ring.ts";
import type { BroadcastId, OverlayMessage } from "./messages.ts";

/** Time to wait for a peer's confirmation before it counts as unresponsive. */
export const ACK_TIMEOUT_MS = 500;

/** Maximum number of times that a broadcast is sent to an unresponsive peer. */
export const MAX_SEND_ATTEMPTS = 4;

/** Limit on the stored broadcast ids, by which duplicates are detected. */
export const MAX_REMEMBERED_BROADCASTS = 1_024;

type Envelope<Inner> = Extract<
  OverlayMessage<Inner>,
  { readonly type: "overlay/broadcast" }
>;

/** A broadcast sent to one peer that has not confirmed it. */
export interface UnconfirmedSend<Inner> {
  readonly to: NodeId;
  readonly envelope: Envelope<Inner>;
  readonly attempts: number;
  readonly sentAt: MonotonicMs;
}

export interface BroadcastState<Inner> {
  readonly self: NodeId;
  /** Boot id, which identifies the process at this address. */
  readonly boot: string;
  /** Number of broadcasts that this process started. Part of their ids. */
  started: number;
  /** Broadcasts delivered here, oldest first. */
  readonly delivered: Set<BroadcastId>;
  /** Unconfirmed sends by peer and broadcast. */
  readonly unconfirmed: Map<string, UnconfirmedSend<Inner>>;
}

export type BroadcastEvent<Inner> =
  /** A slice of this node starts a broadcast. */
  | {
    readonly type: "started";
    readonly message: Inner;
    readonly ring: Ring;
    readonly now: MonotonicMs;
  }
  | {
    readonly type: "received";
    readonly from: NodeId;
    readonly message: OverlayMessage<Inner>;
    readonly ring: Ring;
    readonly now: MonotonicMs;
  }
  | {
    readonly type: "ticked";
    readonly ring: Ring;
    readonly now: MonotonicMs;
  };

export type BroadcastEffect<Inner> =
  | {
    readonly type: "send";
    readonly to: NodeId;
    readonly message: OverlayMessage<Inner>;
  }
  /** Pass the message to the slice that it belongs to. */
  | {
    readonly type: "deliver";
    readonly origin: NodeId;
    readonly message: Inner;
  };

/** Creates the state of a node without broadcasts. */
export function createBroadcastState<Inner>(
  self: NodeId,
  boot: string,
): BroadcastState<Inner> {
  return {
    self,
    boot,
    started: 0,
    delivered: new Set(),
    unconfirmed: new Map(),
  };
}
