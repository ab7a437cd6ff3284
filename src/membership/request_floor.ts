/**
 * What a node must not serve below, asked before it serves anything.
 *
 * A member's memory alone is no proof: an earlier process at this address may
 * have applied a version that this member missed. So readers answer once more
 * after they have reached the log's head, read after the question.
 * @module
 */
import type { NodeId, Offset } from "../core/types.ts";
import { overlayOf, send } from "./overlay_of.ts";
import { remoteGateways } from "./publish_summary.ts";
import type { MembershipEffect, MembershipState } from "./state.ts";

/** Ticks that a node waits for the log before it takes members' word. */
const patienceTicks = 3;

/** Asks for the floor until it is known: members, or others when alone. */
export function requestFloor(
  state: MembershipState,
  random: number,
): MembershipEffect[] {
  if (state.floor !== undefined) return [];
  const { floorHeardAt, ticks } = state;
  if (floorHeardAt !== undefined && ticks - floorHeardAt >= patienceTicks) {
    return settleFloor(state);
  }
  const { id, domain } = state.self;
  const members = [...state.members.keys()].filter((one) => one !== id);
  const strangers = [...state.seeds, ...remoteGateways(state)]
    .filter((one) => one !== id);
  const candidates = members.length > 0 ? members : strangers;
  const any = candidates[Math.floor(random * candidates.length)];
  const targets = new Set([...overlayOf(state).readers, any]);
  return [...targets].filter((to) => to !== undefined && to !== id)
    .map((to) => send(to ?? "", { type: "membership/want-floor", domain }));
}

/** Tells what is known here, and has a reader find out what the log holds. */
export function answerFloor(
  state: MembershipState,
  from: NodeId,
  domain: string,
): MembershipEffect[] {
  const effects = askLog(state, from, domain);
  // A node that does not know its own floor has nothing to go by.
  if (state.floor === undefined) return effects;
  const floor = knownFloor(state, from, domain);
  const type = "membership/floor";
  return [...effects, send(from, { type, floor, isFresh: false })];
}

function askLog(
  state: MembershipState,
  from: NodeId,
  domain: string,
): MembershipEffect[] {
  if (!overlayOf(state).readers.includes(state.self.id)) return [];
  state.floorAsked.set(from, domain);
  return readHead(state);
}

/** One reading at a time serves all who asked before it began. */
function readHead(state: MembershipState): MembershipEffect[] {
  if (state.floorAsking !== undefined || state.floorAsked.size === 0) return [];
  state.floorAsking = state.floorAsked;
  state.floorAsked = new Map();
  return [{ type: "read-head" }];
}

/** Answers those who asked before the head was read. */
export function answerAsking(
  state: MembershipState,
  version: Offset,
): MembershipEffect[] {
  const asking = state.floorAsking ?? new Map<NodeId, string>();
  state.floorAsking = undefined;
  const answers = [...asking].map(([to, domain]) => {
    const floor = Math.max(version, knownFloor(state, to, domain));
    return send(to, { type: "membership/floor", floor, isFresh: true });
  });
  return [...answers, ...readHead(state)];
}

function knownFloor(
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

/** Takes a fresh floor at once, and the greatest of others after a while. */
export function handleFloor(
  state: MembershipState,
  floor: Offset,
  isFresh: boolean,
): MembershipEffect[] {
  if (state.floor !== undefined) return [];
  state.heardFloor = Math.max(floor, state.heardFloor);
  if (isFresh) return settleFloor(state);
  state.floorHeardAt ??= state.ticks;
  return [];
}

function settleFloor(state: MembershipState): MembershipEffect[] {
  state.floor = state.heardFloor;
  return [{ type: "floor-known", floor: state.floor }];
}
