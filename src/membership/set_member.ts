/**
 * Adds a member's row to the view, or removes it.
 * @module
 */
import type { MonotonicMs, NodeId } from "../core/types.ts";
import { indexHome, unindexHome } from "./index_upstreams.ts";
import { type MemberRow, MemberStatus } from "./messages.ts";
import type { MembershipState } from "./state.ts";
import { toggleRow } from "./sum_rows.ts";

/**
 * Limit on the kept rows of dead and departed members. They are kept for the
 * configuration versions that they report.
 */
const MAX_DEPARTED_MEMBERS = 1_000;

/** Adds or replaces the row of a live or suspect member. */
export function setMember(
  state: MembershipState,
  row: MemberRow,
  now: MonotonicMs,
) {
  const { id } = row.info;
  const known = state.members.get(id);
  if (known === undefined) state.overlay = undefined;
  else toggleRow(state.sums, known.row);
  state.departed.delete(id);
  state.members.set(id, { row, receivedAt: now });
  toggleRow(state.sums, row);
  indexHome(state, known?.row, row, now);
  if (row.status !== MemberStatus.Suspect) state.suspects.delete(id);
  else if (!state.suspects.has(id)) state.suspects.set(id, now);
}

/** Removes a member. Its row is kept for the version that it had applied. */
export function dropMember(
  state: MembershipState,
  row: MemberRow,
  now: MonotonicMs,
) {
  const { id } = row.info;
  const known = state.members.get(id);
  if (known !== undefined) {
    toggleRow(state.sums, known.row);
    unindexHome(state, known.row);
    state.members.delete(id);
    state.overlay = undefined;
  }
  state.suspects.delete(id);
  state.unansweredPings.delete(id);
  const applied = Math.max(row.applied, known?.row.applied ?? 0);
  state.departed.delete(id);
  state.departed.set(id, {
    row: { ...row, endpoints: [], applied },
    receivedAt: now,
  });
  dropOldest(state.departed);
}

function dropOldest(departed: Map<NodeId, unknown>) {
  const [oldest] = departed.keys();
  if (departed.size > MAX_DEPARTED_MEMBERS && oldest !== undefined) {
    departed.delete(oldest);
  }
}
