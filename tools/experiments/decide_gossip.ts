/**
 * The way of spreading that was not taken: each node that hears a record for
 * the first time sends it to some random members.
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

/** Returns the peers that a record is sent on to, none when it is known. */
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
