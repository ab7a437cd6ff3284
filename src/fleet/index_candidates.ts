/**
 * Builds the index of endpoints that calls may be sent to.
 * @module
 */
import type { Candidate } from "../load_balancing/state.ts";
import type { CandidateIndex, FleetState } from "./state.ts";

/**
 * Builds the index from the rows of this node and of linked nodes. Rows of
 * other nodes are omitted: they may be from an earlier process at the same
 * address. Endpoints of evacuated failure domains are left out.
 */
export function indexCandidates(
  state: Pick<FleetState, "self" | "rows" | "linked" | "evacuated">,
): CandidateIndex {
  const byService = new Map<string, Map<string, Candidate[]>>();
  for (const node of [state.self, ...state.linked]) {
    const known = state.rows.get(node);
    if (known?.row.endpoint === undefined) continue;
    const { row, receivedAt } = known;
    if (state.evacuated.has(row.domain)) continue;
    const { service, version, slots, coldMs } = known.row.endpoint;
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
