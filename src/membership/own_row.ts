/**
 * The row by which this node tells of itself.
 * @module
 */
import type { MonotonicMs } from "../core/types.ts";
import { type MemberRow, MemberStatus } from "./messages.ts";
import { broadcast } from "./overlay_of.ts";
import { setMember } from "./set_member.ts";
import type { MembershipEffect, MembershipState } from "./state.ts";

/** Returns the row as last refreshed. */
export function ownRow(state: MembershipState): MemberRow {
  const known = state.members.get(state.self.id);
  if (known === undefined) throw new Error("own row is missing");
  return known.row;
}

/** Writes a newer row from the state and tells the domain. */
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
