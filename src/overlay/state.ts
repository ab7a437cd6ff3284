/**
 * Broadcasts that this node passes on and has yet to see confirmed.
 * @module
 */
import type { MonotonicMs, NodeId } from "../core/types.ts";
import type { Ring } from "./build_ring.ts";
import type { BroadcastId, OverlayMessage } from "./messages.ts";

/** Time after which a peer that has not confirmed counts as silent. */
export const ACK_TIMEOUT_MS = 500;

/** Times that a broadcast is sent to one silent peer. */
export const MAX_SEND_ATTEMPTS = 4;

/** Broadcasts remembered, so that a repeat is delivered once. */
export const MAX_REMEMBERED_BROADCASTS = 1_024;

type Envelope<Inner> = Extract<
  OverlayMessage<Inner>,
  { readonly type: "overlay/broadcast" }
>;

/** A broadcast on its way to one peer. */
export interface UnconfirmedSend<Inner> {
  readonly to: NodeId;
  readonly envelope: Envelope<Inner>;
  readonly attempts: number;
  readonly sentAt: MonotonicMs;
}

export interface BroadcastState<Inner> {
  readonly self: NodeId;
  readonly boot: string;
  started: number;
  /** Broadcasts delivered here, oldest first. */
  readonly delivered: Set<BroadcastId>;
  /** By peer and broadcast. */
  readonly unconfirmed: Map<string, UnconfirmedSend<Inner>>;
}

export type BroadcastEvent<Inner> =
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
  /** Give the message to the slice that it belongs to. */
  | {
    readonly type: "deliver";
    readonly origin: NodeId;
    readonly message: Inner;
  };

/** Creates the state of a node that has sent and heard nothing. */
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
