/**
 * Lists the live members of the own failure domain.
 * @module
 */
import type { NodeId } from "../core/types.ts";
import { MemberStatus } from "./messages.ts";
import type { MembershipState } from "./state.ts";

/** Live members, this node included and suspects left out. */
export function aliveIds(state: Readonly<MembershipState>): NodeId[] {
  return [...state.members.values()]
    .filter(({ row }) => row.status === MemberStatus.Alive)
    .map(({ row }) => row.info.id);
}
