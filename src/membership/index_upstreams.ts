/**
 * Indexes home nodes and other domains by service version, so that the call
 * path finds them with one look-up. The home node of an endpoint is the node on
 * the same VM.
 * @module
 */
import { keyOfVersion } from "../core/key_of_version.ts";
import {
  type Announcement,
  EndpointState,
  type MonotonicMs,
  type NodeId,
} from "../core/types.ts";
import type { DomainSummary, MemberRow } from "./messages.ts";
import type { MembershipState } from "./state.ts";

/** Indexes a home node's row in place of its previous row. */
export function indexHome(
  state: MembershipState,
  before: MemberRow | undefined,
  row: MemberRow,
  now: MonotonicMs,
) {
  if (before !== undefined && before.endpoints === row.endpoints) return;
  const home = row.info.id;
  const isHeldBefore = new Set(before?.endpoints.map((one) => one.endpoint));
  const touched = new Set([...keysOf(before), ...keysOf(row)]);
  for (const one of row.endpoints) {
    // Of two nodes that announce an endpoint, the last to begin is its home
    // node.
    if (isHeldBefore.has(one.endpoint)) continue;
    const previous = state.homeByEndpoint.get(one.endpoint);
    state.homeByEndpoint.set(one.endpoint, home);
    if (previous === undefined || previous === home) continue;
    const prior = state.members.get(previous)?.row;
    if (prior !== undefined) reindexHome(state, prior, keysOf(prior), now);
  }
  for (const one of before?.endpoints ?? []) {
    const isHeld = row.endpoints.some((other) =>
      other.endpoint === one.endpoint
    );
    if (!isHeld) releaseEndpoint(state, one, home);
  }
  reindexHome(state, row, touched, now);
}

/** Removes a home node from the index. */
export function unindexHome(state: MembershipState, row: MemberRow) {
  const home = row.info.id;
  for (const one of row.endpoints) releaseEndpoint(state, one, home);
  for (const key of keysOf(row)) removeHome(state, key, home);
}

function releaseEndpoint(
  state: MembershipState,
  one: Announcement,
  home: NodeId,
) {
  if (state.homeByEndpoint.get(one.endpoint) === home) {
    state.homeByEndpoint.delete(one.endpoint);
  }
}

function keysOf(row: MemberRow | undefined): Set<string> {
  return new Set(
    row?.endpoints.map((one) => keyOfVersion(one.service, one.version)),
  );
}

function reindexHome(
  state: MembershipState,
  row: MemberRow,
  keys: ReadonlySet<string>,
  now: MonotonicMs,
) {
  const home = row.info.id;
  for (const key of keys) {
    const known = state.homes.get(key)?.find((one) => one.home === home);
    const slots = row.endpoints.reduce(
      (sum, one) => sum + (isReady(state, one, key, home) ? one.slots : 0),
      0,
    );
    removeHome(state, key, home);
    if (slots === 0) continue;
    const readySince = known?.readySince ?? now;
    const others = state.homes.get(key) ?? [];
    state.homes.set(key, [...others, { home, slots, readySince }]);
  }
}

function isReady(
  state: MembershipState,
  one: Announcement,
  key: string,
  home: NodeId,
): boolean {
  return keyOfVersion(one.service, one.version) === key &&
    one.state === EndpointState.Ready &&
    state.homeByEndpoint.get(one.endpoint) === home;
}

function removeHome(state: MembershipState, key: string, home: NodeId) {
  const left = state.homes.get(key)?.filter((one) => one.home !== home) ?? [];
  if (left.length === 0) state.homes.delete(key);
  else state.homes.set(key, left);
}

/** Indexes another domain's summary in place of its previous one. */
export function indexDomain(
  state: MembershipState,
  before: DomainSummary | undefined,
  summary: DomainSummary | undefined,
) {
  const domain = before?.domain ?? summary?.domain;
  for (const one of before?.services ?? []) {
    const key = keyOfVersion(one.service, one.version);
    const left = state.remotes.get(key)?.filter((other) =>
      other.domain !== domain
    ) ?? [];
    if (left.length === 0) state.remotes.delete(key);
    else state.remotes.set(key, left);
  }
  if (summary === undefined) return;
  const { region, gateways } = summary;
  for (const one of summary.services) {
    const key = keyOfVersion(one.service, one.version);
    const others = state.remotes.get(key) ?? [];
    const { slots } = one;
    const remote = { domain: summary.domain, region, gateways, slots };
    state.remotes.set(key, [...others, remote]);
  }
}
