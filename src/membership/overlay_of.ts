/**
 * The ring and the log readers of the members, and broadcasts over the ring.
 * @module
 */
import { pickReaders } from "../distribution/pick_readers.ts";
import { buildRing } from "../overlay/build_ring.ts";
import { delegateBroadcast } from "../overlay/delegate_broadcast.ts";
import type { NodeId } from "../core/types.ts";
import type { MembershipMessage } from "./messages.ts";
import type { MembershipEffect, MembershipState, Overlay } from "./state.ts";

/** Returns the overlay, rebuilt only after members came or went. */
export function overlayOf(state: MembershipState): Overlay {
  if (state.overlay !== undefined) return state.overlay;
  const ids = [...state.members.keys()];
  const overlay = {
    ring: buildRing(ids),
    readers: pickReaders(ids, state.self.domain),
  };
  state.overlay = overlay;
  return overlay;
}

/** A message that is broadcast over the ring. */
export type BroadcastMessage = Extract<
  MembershipMessage,
  { readonly until: NodeId | null }
>;

/** Broadcasts a message to the ring range that ends at its `until`. */
export function broadcast(
  state: MembershipState,
  message: BroadcastMessage,
): MembershipEffect[] {
  const { ring } = overlayOf(state);
  const end = message.until ?? state.self.id;
  return delegateBroadcast(ring, state.self.id, end).map((one) => ({
    type: "send",
    to: one.to,
    message: { ...message, until: one.until },
  }));
}

/** Forwards a broadcast to the ring range delegated to this node, if any. */
export function forwardBroadcast(
  state: MembershipState,
  message: BroadcastMessage,
): MembershipEffect[] {
  const { until } = message;
  const isLastHop = until === null || until === state.self.id;
  return isLastHop ? [] : broadcast(state, message);
}

/** Creates the effect that sends a message to one peer. */
export function send(
  to: NodeId,
  message: MembershipMessage,
): MembershipEffect {
  return { type: "send", to, message };
}
