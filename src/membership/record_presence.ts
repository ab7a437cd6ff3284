/**
 * Keeps a sample of live nodes in the log, for nodes whose seeds are gone.
 * @module
 */
import type { MonotonicMs, NodeId } from "../core/types.ts";
import { listFingers } from "../overlay/delegate_broadcast.ts";
import { overlayOf } from "./overlay_of.ts";
import type { MembershipEffect, MembershipState } from "./state.ts";

/** Shortest time between two records of one node. */
export const PRESENCE_DELAY_MS = 180_000;

/** Time after the start in which members are still being found. */
const settleTicks = 10;

/** Records a sample when half of the recorded nodes are gone. */
export function recordPresence(
  state: MembershipState,
  recorded: readonly NodeId[],
  now: MonotonicMs,
): MembershipEffect[] {
  const { ring, readers } = overlayOf(state);
  const { id } = state.self;
  if (readers[0] !== id || state.ticks < settleTicks) return [];
  const isFirst = state.ticks === settleTicks;
  if (!isFirst && now - state.presenceAt < PRESENCE_DELAY_MS) return [];
  const nodes = [id, ...listFingers(ring, id)];
  const live = recorded.filter((one) => state.members.has(one)).length;
  if (live * 2 > Math.max(recorded.length, nodes.length)) return [];
  state.presenceAt = now;
  return [{ type: "record-presence", nodes }];
}
