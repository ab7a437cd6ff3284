/**
 * Puts a member's row into the view, or takes it out.
 * @module
 */
import type { MonotonicMs, NodeId } from "../core/types.ts";
import { indexHome, unindexHome } from "./index_upstreams.ts";
import { type MemberRow, MemberStatus } from "./messages.ts";
import type { MembershipState } from "./state.ts";
import { toggleRow } from "./sum_rows.ts";

/** Members that died or left and are remembered for their versions. */
const maxDeparted = 1_000;

/** Puts a row of a live member into the view. */
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

/** Takes a member out. Its row is remembered for the version it had. */
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
  state.missed.delete(id);
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
  if (departed.size > maxDeparted && oldest !== undefined) {
    departed.delete(oldest);
  }
}
