/**
 * Detects failed members by pings along the ring. A member is suspected first,
 * and declared dead if it does not refute the suspicion in time.
 * @module
 */
import type { MonotonicMs, NodeId } from "../core/types.ts";
import { listFingers, listSuccessors } from "../overlay/delegate_broadcast.ts";
import { type MemberRow, MemberStatus } from "./messages.ts";
import { broadcast, overlayOf, send } from "./overlay_of.ts";
import { dropMember, setMember } from "./set_member.ts";
import type { MembershipEffect, MembershipState } from "./state.ts";

/** Pings without an answer after which a member is suspected. */
export const SUSPECT_AFTER_PINGS = 2;

/** Time that a suspect has to refute before it is declared dead. */
export const SUSPICION_MS = 3_000;

/**
 * Maximum number of successors on the ring that are pinged in one tick while
 * nearer ones do not answer.
 */
const MAX_PINGED_SUCCESSORS = 16;

/** Maximum number of rows in one broadcast. */
const MAX_ROWS_PER_BROADCAST = 80;

/** Options of `pingMembers`. */
export interface PingMembersOptions {
  readonly now: MonotonicMs;
  /** Random number from 0 to 1. */
  readonly random: number;
}

/**
 * Pings the next member on the ring, and further ones while nearer ones are
 * unresponsive. Also pings one random overlay neighbour with the sums of all
 * rows, so that differing views are found.
 */
export function pingMembers(
  state: MembershipState,
  opts: PingMembersOptions,
): MembershipEffect[] {
  const { ring } = overlayOf(state);
  const { id } = state.self;
  const effects: MembershipEffect[] = [];
  const unanswered = new Map<NodeId, number>();
  const ping = (to: NodeId, sums: readonly number[] | null) =>
    send(to, { type: "membership/ping", applied: state.applied, sums });
  const unresponsive =
    [...state.unansweredPings.values()].filter((one) => one > 0).length;
  for (const to of listSuccessors(ring, id, MAX_PINGED_SUCCESSORS)) {
    const count = state.unansweredPings.get(to) ?? 0;
    if (count >= SUSPECT_AFTER_PINGS) effects.push(...suspect(state, to, opts));
    unanswered.set(to, count + 1);
    effects.push(ping(to, null));
    // The number of pinged successors doubles with each tick, so that many
    // adjacent dead members are found soon.
    if (count === 0 && unanswered.size > unresponsive * 2) break;
  }
  state.unansweredPings = unanswered;
  const fingers = listFingers(ring, id);
  const finger = fingers[Math.floor(opts.random * fingers.length)];
  if (finger !== undefined) effects.push(ping(finger, [...state.sums]));
  return effects;
}

function suspect(
  state: MembershipState,
  id: NodeId,
  opts: PingMembersOptions,
): MembershipEffect[] {
  const row = state.members.get(id)?.row;
  if (row === undefined || row.status === MemberStatus.Suspect) return [];
  const suspected: MemberRow = { ...row, status: MemberStatus.Suspect };
  setMember(state, suspected, opts.now);
  // Nodes that have the member's row have its endpoints already.
  const rows = [{ ...suspected, endpoints: [] }];
  state.pendingRows.push(...rows);
  return [
    { type: "member-changed", node: id, status: MemberStatus.Suspect },
    // Sent to the suspect directly, so that it can refute immediately.
    send(id, { type: "membership/rows", rows, until: id }),
  ];
}

/** Broadcasts the rows queued since the last tick. */
export function sendUpdates(state: MembershipState): MembershipEffect[] {
  const effects: MembershipEffect[] = [];
  const until = state.self.id;
  while (state.pendingRows.length > 0) {
    const rows = state.pendingRows.splice(0, MAX_ROWS_PER_BROADCAST);
    effects.push(...broadcast(state, { type: "membership/rows", rows, until }));
  }
  return effects;
}

/** Declares suspects dead that have not refuted in time, and drops them. */
export function removeDeadMembers(
  state: MembershipState,
  now: MonotonicMs,
): MembershipEffect[] {
  const effects: MembershipEffect[] = [];
  for (const [id, since] of state.suspects) {
    if (now - since < SUSPICION_MS) continue;
    const row = state.members.get(id)?.row;
    if (row === undefined) continue;
    dropMember(state, { ...row, status: MemberStatus.Dead }, now);
    effects.push({
      type: "member-changed",
      node: id,
      status: MemberStatus.Dead,
    });
    if (row.endpoints.length > 0) effects.push({ type: "upstreams-changed" });
  }
  return effects;
}
