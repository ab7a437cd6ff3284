/**
 * Merges a member's row, received from any peer, into this node's view.
 * @module
 */
import { exhausted } from "../core/exhausted.ts";
import type { MonotonicMs, NodeId, NodeInfo } from "../core/types.ts";
import { removeConflictingUpstreams } from "./announce_upstream.ts";
import { type MemberRow, MemberStatus } from "./messages.ts";
import { sendOwnRow } from "./own_row.ts";
import { dropMember, setMember } from "./set_member.ts";
import type { MembershipEffect, MembershipState } from "./state.ts";

/** Options of `applyRow`. */
export interface ApplyRowOptions {
  readonly from: NodeId;
  readonly row: MemberRow;
  readonly now: MonotonicMs;
}

/** Stores a row if it is newer than the known row of the same node. */
export function applyRow(
  state: MembershipState,
  opts: ApplyRowOptions,
): MembershipEffect[] {
  const { from, row, now } = opts;
  const contradiction = findContradiction(state, row.info);
  if (contradiction !== undefined) {
    return [{ type: "refuse-peer", peer: from, reason: contradiction }];
  }
  if (row.info.id === state.self.id) return refute(state, row, now);
  if (row.info.domain !== state.self.domain) {
    recordPeer(state, row.info.id);
    return [];
  }
  const { id } = row.info;
  const known = state.members.get(id)?.row ?? state.departed.get(id)?.row;
  if (known !== undefined && !isNewer(row, known)) return [];
  const applied = Math.max(row.applied, known?.applied ?? 0);
  const before = state.members.get(id)?.row;
  const isSuspect = row.status === MemberStatus.Suspect;
  // A row that reports a suspicion is sent without endpoints.
  const endpoints = isSuspect && before !== undefined
    ? before.endpoints
    : row.endpoints;
  return storeRow(state, before, { ...row, applied, endpoints }, now);
}

function storeRow(
  state: MembershipState,
  known: MemberRow | undefined,
  row: MemberRow,
  now: MonotonicMs,
): MembershipEffect[] {
  switch (row.status) {
    case MemberStatus.Alive:
    case MemberStatus.Suspect:
      setMember(state, row, now);
      break;
    case MemberStatus.Left:
    case MemberStatus.Dead:
      dropMember(state, row, now);
      break;
    default:
      return exhausted(row.status);
  }
  const effects = removeConflictingUpstreams(state, known, row, now);
  if (known?.status !== row.status) {
    const { info, status } = row;
    effects.push({ type: "member-changed", node: info.id, status });
  }
  if (upstreamsOf(known) !== upstreamsOf(row)) {
    effects.push({ type: "upstreams-changed" });
  }
  return effects;
}

/**
 * Raises the incarnation and broadcasts this node's row when a peer holds a row
 * of this node that reports a suspicion, a death or an earlier process.
 */
function refute(
  state: MembershipState,
  row: MemberRow,
  now: MonotonicMs,
): MembershipEffect[] {
  // The version that an earlier process applied counts towards the floor.
  if (row.info.boot !== state.self.boot) {
    state.receivedFloor = Math.max(state.receivedFloor, row.applied);
  }
  const isOwn = row.info.boot === state.self.boot &&
    row.status === MemberStatus.Alive;
  if (isOwn || state.isLeaving || row.incarnation < state.incarnation) {
    return [];
  }
  state.incarnation = row.incarnation + 1;
  return sendOwnRow(state, now);
}

/** Stores a peer's address, through which this node may rejoin the fleet. */
export function recordPeer(state: MembershipState, peer: NodeId) {
  state.knownPeers.delete(peer);
  state.knownPeers.add(peer);
  const [oldest] = state.knownPeers;
  if (state.knownPeers.size > MAX_KNOWN_PEERS && oldest !== undefined) {
    state.knownPeers.delete(oldest);
  }
}

/** Limit on the stored addresses. The oldest are dropped. */
const MAX_KNOWN_PEERS = 64;

/**
 * Returns a text that names both domains if a node's address and domain
 * contradict this node's view, undefined otherwise.
 */
export function findContradiction(
  state: MembershipState,
  info: NodeInfo,
): string | undefined {
  const { id, domain } = info;
  if (id === state.self.id) {
    return domain === state.self.domain ? undefined : `${id} says that it is ` +
      `in ${domain}, but this node has that address in ${state.self.domain}`;
  }
  if (domain === state.self.domain) return undefined;
  return state.members.has(id)
    ? `${id} says that it is in ${domain}, but ${state.self.domain} has a ` +
      `live node at that address`
    : undefined;
}

/** Order of rows with one incarnation: the higher rank overrides. */
const STATUS_RANKS: Readonly<Record<MemberStatus, number>> = {
  [MemberStatus.Alive]: 0,
  [MemberStatus.Suspect]: 1,
  [MemberStatus.Dead]: 2,
  [MemberStatus.Left]: 3,
};

/**
 * Returns true if a row overrides the known row of the same node. A suspicion
 * overrides every live row of its incarnation, so only a higher incarnation
 * refutes it.
 */
export function isNewer(row: MemberRow, known: MemberRow): boolean {
  if (row.incarnation !== known.incarnation) {
    return row.incarnation > known.incarnation;
  }
  const byRank = STATUS_RANKS[row.status] - STATUS_RANKS[known.status];
  return byRank === 0 ? row.revision > known.revision : byRank > 0;
}

function upstreamsOf(row: MemberRow | undefined): string {
  const endpoints = row?.endpoints.map((one) =>
    `${one.endpoint} ${one.service}@${one.version} ${one.state} ${one.slots}`
  );
  return endpoints?.join() ?? "";
}
