/**
 * Lists the live members of this node's failure domain.
 * @module
 */
import type { NodeId } from "../core/types.ts";
import { MemberStatus } from "./messages.ts";
import type { MembershipState } from "./state.ts";

/** Returns the live members, this node included, without suspects. */
export function aliveIds(state: Readonly<MembershipState>): NodeId[] {
  return [...state.members.values()]
    .filter(({ row }) => row.status === MemberStatus.Alive)
    .map(({ row }) => row.info.id);
}
