/**
 * The version floor: the lowest configuration version that a node may serve. A
 * node requests it from its peers before it serves anything.
 *
 * What a member has in memory is not enough: an earlier process at the address
 * of the requesting node may have applied a version that this member missed. So
 * readers answer a second time, once they have reached the log's head as read
 * after the request.
 * @module
 */
import type { NodeId, Offset } from "../core/types.ts";
import { overlayOf, send } from "./overlay_of.ts";
import { remoteGateways } from "./publish_summary.ts";
import type { MembershipEffect, MembershipState } from "./state.ts";

/**
 * Ticks to wait, after the first floor that a peer had in memory, for a floor
 * from the log. Then the greatest floor received is used.
 */
const FLOOR_WAIT_TICKS = 3;

/**
 * Requests the floor at each tick until it is known: from the readers and one
 * member, or from other known nodes if the domain has no other member.
 */
export function requestFloor(
  state: MembershipState,
  random: number,
): MembershipEffect[] {
  if (state.floor !== undefined) return [];
  const { floorReceivedAtTick: receivedAt, ticks } = state;
  if (receivedAt !== undefined && ticks - receivedAt >= FLOOR_WAIT_TICKS) {
    return settleFloor(state);
  }
  const { id, domain } = state.self;
  const members = [...state.members.keys()].filter((one) => one !== id);
  const outsiders = [...state.seeds, ...remoteGateways(state)]
    .filter((one) => one !== id);
  const candidates = members.length > 0 ? members : outsiders;
  const randomNode = candidates[Math.floor(random * candidates.length)];
  const targets = new Set([...overlayOf(state).readers, randomNode]);
  return [...targets].filter((to) => to !== undefined && to !== id)
    .map((to) => send(to ?? "", { type: "membership/want-floor", domain }));
}

/** Answers with the floor known here; a reader also reads the log's head. */
export function answerFloorRequest(
  state: MembershipState,
  from: NodeId,
  domain: string,
): MembershipEffect[] {
  const effects = queueFloorRequest(state, from, domain);
  // Until its floor is known, this node has none to send.
  if (state.floor === undefined) return effects;
  const floor = findKnownFloor(state, from, domain);
  const type = "membership/floor";
  return [...effects, send(from, { type, floor, isFresh: false })];
}

function queueFloorRequest(
  state: MembershipState,
  from: NodeId,
  domain: string,
): MembershipEffect[] {
  if (!overlayOf(state).readers.includes(state.self.id)) return [];
  state.queuedFloorRequests.set(from, domain);
  return readHead(state);
}

/** Starts one read of the head, for all requests queued before it. */
function readHead(state: MembershipState): MembershipEffect[] {
  if (
    state.activeFloorRequests !== undefined ||
    state.queuedFloorRequests.size === 0
  ) return [];
  state.activeFloorRequests = state.queuedFloorRequests;
  state.queuedFloorRequests = new Map();
  return [{ type: "read-head" }];
}

/** Answers the requests that were queued before the head was read. */
export function answerActiveRequests(
  state: MembershipState,
  version: Offset,
): MembershipEffect[] {
  const requests = state.activeFloorRequests ?? new Map<NodeId, string>();
  state.activeFloorRequests = undefined;
  const answers = [...requests].map(([to, domain]) => {
    const floor = Math.max(version, findKnownFloor(state, to, domain));
    return send(to, { type: "membership/floor", floor, isFresh: true });
  });
  return [...answers, ...readHead(state)];
}

function findKnownFloor(
  state: MembershipState,
  from: NodeId,
  domain: string,
): Offset {
  const atAddress = state.members.get(from) ?? state.departed.get(from);
  return Math.max(
    state.floor ?? 0,
    state.applied,
    atAddress?.row.applied ?? 0,
    state.summaries.get(domain)?.summary.highest ?? 0,
  );
}

/**
 * Handles an answer to a floor request. A fresh floor sets this node's floor
 * immediately; otherwise the greatest floor received is used after a wait.
 */
export function handleFloor(
  state: MembershipState,
  floor: Offset,
  isFresh: boolean,
): MembershipEffect[] {
  if (state.floor !== undefined) return [];
  state.receivedFloor = Math.max(floor, state.receivedFloor);
  if (isFresh) return settleFloor(state);
  state.floorReceivedAtTick ??= state.ticks;
  return [];
}

function settleFloor(state: MembershipState): MembershipEffect[] {
  state.floor = state.receivedFloor;
  return [{ type: "floor-known", floor: state.floor }];
}
