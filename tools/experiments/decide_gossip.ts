/**
 * Random gossip, the alternative to the ring broadcast in the comparison: a
 * node that receives a record for the first time sends it to random members.
 * @module
 */
import type { NodeId, Offset } from "../../src/core/types.ts";

export interface GossipState {
  readonly self: NodeId;
  readonly seen: Set<Offset>;
}

/** Options of `decideGossip`. */
export interface DecideGossipOptions {
  readonly members: readonly NodeId[];
  readonly offset: Offset;
  /** Random numbers from 0 to 1, one for each peer to send to. */
  readonly random: readonly number[];
}

/** Returns the peers to forward a record to: none if it was seen before. */
export function decideGossip(
  state: GossipState,
  opts: DecideGossipOptions,
): NodeId[] {
  const { members, offset, random } = opts;
  if (state.seen.has(offset)) return [];
  state.seen.add(offset);
  const picks = random.map((one) =>
    members[Math.floor(one * members.length)] ?? state.self
  );
  return [...new Set(picks)].filter((id) => id !== state.self);
}
