/**
 * Builds the index of endpoints that calls may be sent to.
 * @module
 */
import type { Candidate } from "../load_balancing/state.ts";
import type { CandidateIndex, FleetState } from "./state.ts";

/**
 * Builds the index from the rows of this node and of linked nodes. Rows of
 * other nodes are omitted: they may be from an earlier process at the same
 * address.
 */
export function indexCandidates(
  state: Pick<FleetState, "self" | "rows" | "linked">,
): CandidateIndex {
  const byService = new Map<string, Map<string, Candidate[]>>();
  for (const [node, { row, receivedAt }] of state.rows) {
    const { endpoint } = row;
    const isReachable = node === state.self || state.linked.has(node);
    if (endpoint === undefined || !isReachable) continue;
    const { service, version, slots, coldMs } = endpoint;
    let versions = byService.get(service);
    if (versions === undefined) {
      versions = new Map();
      byService.set(service, versions);
    }
    const candidate: Candidate = {
      home: node,
      domain: row.domain,
      slots,
      coldUntil: receivedAt + coldMs,
    };
    const same = versions.get(version);
    if (same === undefined) versions.set(version, [candidate]);
    else same.push(candidate);
  }
  return byService;
}
