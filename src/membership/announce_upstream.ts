/**
 * Takes announcements of upstreams whose home this node is.
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

/** An upstream that has not repeated its announcement is gone. */
export const ANNOUNCEMENT_TTL_MS = 3_000;

/** Takes an announcement and tells the domain at once when it changed. */
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
  if (before !== undefined && factsOf(before) === factsOf(announcement)) {
    return [];
  }
  return [...sendOwnRow(state, now), { type: "upstreams-changed" }];
}

/** All but the load, which rides on answers to calls. */
function factsOf(announcement: Announcement): string {
  return JSON.stringify({ ...announcement, load: 0 });
}

/** Drops the upstreams that have not repeated their announcement. */
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
 * Gives up the endpoints that another home has just begun to list. Should the
 * upstream still announce itself here, the next announcement takes it back.
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
