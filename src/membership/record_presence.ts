/**
 * Keeps a sample of the domain's nodes in the log, so that a node whose seeds
 * are all gone finds the fleet.
 * @module
 */
import type { MonotonicMs, NodeId } from "../core/types.ts";
import { listFingers } from "../overlay/delegate_broadcast.ts";
import { overlayOf } from "./overlay_of.ts";
import type { MembershipEffect, MembershipState } from "./state.ts";

/** Minimum time between two presence records of one node. */
export const PRESENCE_DELAY_MS = 180_000;

/** Ticks after the start in which members are still being discovered. */
const SETTLE_TICKS = 10;

/** Records a new sample when at least half of the recorded nodes are gone. */
export function recordPresence(
  state: MembershipState,
  recorded: readonly NodeId[],
  now: MonotonicMs,
): MembershipEffect[] {
  const { ring, readers } = overlayOf(state);
  const { id } = state.self;
  if (readers[0] !== id || state.ticks < SETTLE_TICKS) return [];
  const isFirst = state.ticks === SETTLE_TICKS;
  if (!isFirst && now - state.presenceAt < PRESENCE_DELAY_MS) return [];
  const nodes = [id, ...listFingers(ring, id)];
  const live = recorded.filter((one) => state.members.has(one)).length;
  if (live * 2 > Math.max(recorded.length, nodes.length)) return [];
  state.presenceAt = now;
  return [{ type: "record-presence", nodes }];
}
