/**
 * Handles announcements of endpoints on this node's VM. This node is their home
 * node: the only one that opens connections to them.
 * @module
 */
import {
  type Announcement,
  type EndpointId,
  EndpointState,
  type MonotonicMs,
} from "../core/types.ts";
import type { MemberRow } from "./messages.ts";
import { sendOwnRow } from "./own_row.ts";
import type { MembershipEffect, MembershipState } from "./state.ts";

/** Time without a repeated announcement after which an endpoint is dropped. */
export const ANNOUNCEMENT_TTL_MS = 3_000;

/**
 * Stores an announcement. If it changed, immediately broadcasts the node's row.
 */
export function announceUpstream(
  state: MembershipState,
  announcement: Announcement,
  now: MonotonicMs,
): MembershipEffect[] {
  const known = state.own.get(announcement.endpoint);
  const before = known?.announcement;
  const isReadyBefore = before?.state === EndpointState.Ready &&
    before.version === announcement.version;
  state.own.set(announcement.endpoint, {
    announcement,
    receivedAt: now,
    readySince: isReadyBefore ? known?.readySince ?? now : now,
  });
  if (before !== undefined && contentOf(before) === contentOf(announcement)) {
    return [];
  }
  return [...sendOwnRow(state, now), { type: "upstreams-changed" }];
}

/**
 * Returns the announcement as text, without its load: answers carry the load.
 */
function contentOf(announcement: Announcement): string {
  return JSON.stringify({ ...announcement, load: 0 });
}

/** Drops the endpoints whose announcement was not repeated in time. */
export function dropUnresponsiveUpstreams(
  state: MembershipState,
  now: MonotonicMs,
): MembershipEffect[] {
  let isChanged = false;
  for (const [id, endpoint] of state.own) {
    if (now - endpoint.receivedAt <= ANNOUNCEMENT_TTL_MS) continue;
    state.own.delete(id);
    isChanged = true;
  }
  if (!isChanged) return [];
  return [...sendOwnRow(state, now), { type: "upstreams-changed" }];
}

/**
 * Drops endpoints of this node that another node has just begun to announce. If
 * an endpoint still announces itself here, its next announcement adds it again.
 */
export function removeConflictingUpstreams(
  state: MembershipState,
  before: MemberRow | undefined,
  row: MemberRow,
  now: MonotonicMs,
): MembershipEffect[] {
  if (row.info.id === state.self.id) return [];
  const held = new Set<EndpointId>(
    before?.endpoints.map((one) => one.endpoint),
  );
  let isChanged = false;
  for (const { endpoint } of row.endpoints) {
    if (held.has(endpoint)) continue;
    isChanged = state.own.delete(endpoint) || isChanged;
  }
  return isChanged ? sendOwnRow(state, now) : [];
}
