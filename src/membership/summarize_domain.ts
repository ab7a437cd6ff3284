/**
 * Builds the summary of this node's failure domain.
 * @module
 */
import { keyOfVersion } from "../core/key_of_version.ts";
import type { DomainSummary, Laggard, ServiceSummary } from "./messages.ts";
import { overlayOf } from "./overlay_of.ts";
import type { MembershipState } from "./state.ts";

/** Maximum number of nodes below the highest version that a summary lists. */
export const MAX_LAGGARDS = 16;

/** Returns the summary of the members, suspects included. */
export function summarizeDomain(state: MembershipState): DomainSummary {
  const rows = [...state.members.values()].map((known) => known.row);
  const applied = rows.map((row) => row.applied);
  const highest = Math.max(...applied);
  const laggards = rows.filter((row) => row.applied < highest)
    .map((row): Laggard => ({ node: row.info.id, applied: row.applied }))
    .sort((a, b) => a.applied - b.applied || (a.node < b.node ? -1 : 1));
  return {
    domain: state.self.domain,
    region: state.self.region,
    revision: state.summaryRevision,
    speaker: state.self.id,
    nodes: rows.length,
    applied: Math.min(...applied),
    highest,
    laggards: laggards.slice(0, MAX_LAGGARDS),
    gateways: overlayOf(state).readers,
    services: sumServices(state),
  };
}

function sumServices(state: MembershipState): ServiceSummary[] {
  const names = new Map<string, ServiceSummary>();
  for (const { row } of state.members.values()) {
    for (const { service, version } of row.endpoints) {
      const key = keyOfVersion(service, version);
      if (names.has(key)) continue;
      const slots = (state.homes.get(key) ?? [])
        .reduce((sum, one) => sum + one.slots, 0);
      if (slots > 0) names.set(key, { service, version, slots });
    }
  }
  return [...names.values()];
}
