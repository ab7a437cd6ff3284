/**
 * Detects failures by pings along the ring, with suspicion before death.
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

/** Time that a suspect has to refute. */
export const SUSPICION_MS = 3_000;

/** Successors pinged at once while the nearer ones do not answer. */
const maxSuccessors = 16;

/** Rows in one broadcast at most. */
const maxNewsRows = 80;

/** Options of `pingMembers`. */
export interface PingMembersOptions {
  readonly now: MonotonicMs;
  /** Random number from 0 to 1. */
  readonly random: number;
}

/** Pings the successor, and those after it while it stays silent. */
export function pingMembers(
  state: MembershipState,
  opts: PingMembersOptions,
): MembershipEffect[] {
  const { ring } = overlayOf(state);
  const { id } = state.self;
  const effects: MembershipEffect[] = [];
  const missed = new Map<NodeId, number>();
  const ping = (to: NodeId, sums: readonly number[] | null) =>
    send(to, { type: "membership/ping", applied: state.applied, sums });
  const silent = [...state.missed.values()].filter((one) => one > 0).length;
  for (const to of listSuccessors(ring, id, maxSuccessors)) {
    const count = state.missed.get(to) ?? 0;
    if (count >= SUSPECT_AFTER_PINGS) effects.push(...suspect(state, to, opts));
    missed.set(to, count + 1);
    effects.push(ping(to, null));
    // Looks twice as far at each tick, so that a herd's death shows soon.
    if (count === 0 && missed.size > silent * 2) break;
  }
  state.missed = missed;
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
  // Whoever knows the member knows its endpoints.
  const rows = [{ ...suspected, endpoints: [] }];
  state.news.push(...rows);
  return [
    { type: "member-changed", node: id, status: MemberStatus.Suspect },
    // The suspect hears it first-hand, so that it can refute at once.
    send(id, { type: "membership/rows", rows, until: id }),
  ];
}

/** Broadcasts the rows gathered since the last tick. */
export function sendUpdates(state: MembershipState): MembershipEffect[] {
  const effects: MembershipEffect[] = [];
  const until = state.self.id;
  while (state.news.length > 0) {
    const rows = state.news.splice(0, maxNewsRows);
    effects.push(...broadcast(state, { type: "membership/rows", rows, until }));
  }
  return effects;
}

/** Drops the suspects that have not refuted in time. */
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
