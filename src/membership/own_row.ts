/**
 * The gossip row of this node.
 * @module
 */
import type { MonotonicMs } from "../core/types.ts";
import { type MemberRow, MemberStatus } from "./messages.ts";
import { broadcast } from "./overlay_of.ts";
import { setMember } from "./set_member.ts";
import type { MembershipEffect, MembershipState } from "./state.ts";

/** Returns this node's row, as `sendOwnRow` last wrote it. */
export function ownRow(state: MembershipState): MemberRow {
  const known = state.members.get(state.self.id);
  if (known === undefined) throw new Error("this node has no row");
  return known.row;
}

/** Writes this node's row with a new revision, and broadcasts the row. */
export function sendOwnRow(
  state: MembershipState,
  now: MonotonicMs,
): MembershipEffect[] {
  state.revision++;
  const row: MemberRow = {
    info: state.self,
    incarnation: state.incarnation,
    revision: state.revision,
    status: state.isLeaving ? MemberStatus.Left : MemberStatus.Alive,
    endpoints: [...state.own.values()].map((one) => one.announcement),
    applied: state.applied,
  };
  setMember(state, row, now);
  const until = state.self.id;
  return broadcast(state, { type: "membership/rows", rows: [row], until });
}
