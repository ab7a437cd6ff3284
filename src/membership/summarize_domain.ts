/**
 * Sums up the own failure domain for the others.
 * @module
 */
import { EndpointState } from "../core/types.ts";
import { pickReaders } from "../distribution/pick_readers.ts";
import {
  type DomainSummary,
  type MemberRow,
  MemberStatus,
  type ServiceSummary,
} from "./messages.ts";
import type { MembershipState } from "./state.ts";

/** Returns the summary of the live members. */
export function summarizeDomain(state: MembershipState): DomainSummary {
  const rows = [...state.members.values()].map((known) => known.row)
    .filter((row) => row.status === MemberStatus.Alive);
  const { domain, region } = state.self;
  return {
    domain,
    region,
    // Summaries of two gateways are ordered by the newest that they know.
    revision: state.incarnation + state.summaryRevision,
    nodes: rows.length,
    applied: Math.min(...rows.map((row) => row.applied)),
    gateways: pickReaders(rows.map((row) => row.info.id), domain),
    services: sumServices(rows),
  };
}

function sumServices(rows: readonly MemberRow[]): ServiceSummary[] {
  const sums = new Map<string, ServiceSummary>();
  for (const row of rows) {
    for (const endpoint of row.endpoints) {
      if (endpoint.state !== EndpointState.Ready) continue;
      const { service, version, slots } = endpoint;
      const key = `${service}@${version}`;
      const sum = (sums.get(key)?.slots ?? 0) + slots;
      sums.set(key, { service, version, slots: sum });
    }
  }
  return [...sums.values()];
}
