/**
 * Broadcasts over the ring with confirmations. A member that does not confirm
 * is bypassed, since it may have died without being detected yet.
 * @module
 */
import { exhausted } from "../core/exhausted.ts";
import type { MonotonicMs, NodeId } from "../core/types.ts";
import type { Ring } from "./build_ring.ts";
import { delegateBroadcast } from "./delegate_broadcast.ts";
import type { BroadcastId } from "./messages.ts";
import {
  ACK_TIMEOUT_MS,
  type BroadcastEffect,
  type BroadcastEvent,
  type BroadcastState,
  MAX_REMEMBERED_BROADCASTS,
  MAX_SEND_ATTEMPTS,
  type UnconfirmedSend,
} from "./state.ts";

type Received<Inner> = Extract<BroadcastEvent<Inner>, { type: "received" }>;
type Ticked<Inner> = Extract<BroadcastEvent<Inner>, { type: "ticked" }>;
type Envelope<Inner> = UnconfirmedSend<Inner>["envelope"];

/** Applies one event to the state and returns the effects. */
export function decideBroadcast<Inner>(
  state: BroadcastState<Inner>,
  event: BroadcastEvent<Inner>,
): readonly BroadcastEffect<Inner>[] {
  switch (event.type) {
    case "started": {
      const { self, boot } = state;
      const { message, ring, now } = event;
      const envelope = {
        type: "overlay/broadcast",
        id: `${self}/${boot}/${state.started++}`,
        origin: self,
        until: self,
        message,
      } as const;
      remember(state, envelope.id);
      return forwardBroadcast({ state, envelope, ring, after: self, now });
    }
    case "received":
      return receive(state, event);
    case "ticked":
      return retrySends(state, event);
    default:
      return exhausted(event);
  }
}

function receive<Inner>(
  state: BroadcastState<Inner>,
  event: Received<Inner>,
): BroadcastEffect<Inner>[] {
  const { from, message, ring, now } = event;
  switch (message.type) {
    case "overlay/ack":
      state.unconfirmed.delete(keyOf(from, message.id));
      return [];
    case "overlay/broadcast": {
      const ack = { type: "overlay/ack", id: message.id } as const;
      const { origin } = message;
      const effects: BroadcastEffect<Inner>[] = [
        { type: "send", to: from, message: ack },
      ];
      // A duplicate may have a wider range, so it is forwarded as well.
      if (remember(state, message.id)) {
        effects.push({ type: "deliver", origin, message: message.message });
      }
      const after = state.self;
      effects.push(
        ...forwardBroadcast({ state, envelope: message, ring, after, now }),
      );
      return effects;
    }
    default:
      return exhausted(message);
  }
}

/** Options of `forwardBroadcast`. */
interface ForwardBroadcastOptions<Inner> {
  readonly state: BroadcastState<Inner>;
  readonly envelope: Envelope<Inner>;
  readonly ring: Ring;
  /** Node after which the range begins. */
  readonly after: NodeId;
  readonly now: MonotonicMs;
}

/** Forwards an envelope to the range between `after` and the envelope's end. */
function forwardBroadcast<Inner>(
  opts: ForwardBroadcastOptions<Inner>,
): BroadcastEffect<Inner>[] {
  const { state, envelope, ring, after, now } = opts;
  const { id, until } = envelope;
  // For any node but the origin, a range that ends at its start is empty;
  // `delegateBroadcast` would take it for the complete ring.
  const isOrigin = envelope.origin === state.self;
  if (until === null || (until === after && !isOrigin)) return [];
  return delegateBroadcast(ring, after, until).map((one) => {
    const { to } = one;
    const message = { ...envelope, until: one.until };
    const sent = { to, envelope: message, attempts: 1, sentAt: now };
    state.unconfirmed.set(keyOf(to, id), sent);
    return { type: "send", to, message };
  });
}

/**
 * Sends broadcasts again to peers that have not confirmed them in time, and
 * forwards them to the ranges that were delegated to these peers.
 */
function retrySends<Inner>(
  state: BroadcastState<Inner>,
  { ring, now }: Ticked<Inner>,
): BroadcastEffect<Inner>[] {
  const overdue = [...state.unconfirmed].filter(([, sent]) =>
    now - sent.sentAt >= ACK_TIMEOUT_MS
  );
  const effects: BroadcastEffect<Inner>[] = [];
  for (const [key, { to, envelope, attempts }] of overdue) {
    state.unconfirmed.delete(key);
    effects.push(
      ...forwardBroadcast({ state, envelope, ring, after: to, now }),
    );
    if (attempts >= MAX_SEND_ATTEMPTS) continue;
    // The peer's range has been delegated to others, so it forwards nothing.
    const message = { ...envelope, until: null };
    const sent = { to, envelope: message, attempts: attempts + 1, sentAt: now };
    state.unconfirmed.set(key, sent);
    effects.push({ type: "send", to, message });
  }
  return effects;
}

/** Records a broadcast as delivered. Returns false if it already was. */
function remember<Inner>(
  state: BroadcastState<Inner>,
  id: BroadcastId,
): boolean {
  if (state.delivered.has(id)) return false;
  state.delivered.add(id);
  const [oldest] = state.delivered;
  if (
    state.delivered.size > MAX_REMEMBERED_BROADCASTS && oldest !== undefined
  ) {
    state.delivered.delete(oldest);
  }
  return true;
}

const keyOf = (to: NodeId, id: BroadcastId) => `${to} ${id}`;
