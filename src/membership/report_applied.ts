/**
 * Brings the members' versions in force to the readers.
 *
 * A node tells the head of its group; the head passes on what it heard within
 * one tick in one message, so a reader hears from groups and not from nodes.
 * @module
 */
import type { NodeId, Offset } from "../core/types.ts";
import type { AppliedReport } from "./messages.ts";
import { overlayOf, send } from "./overlay_of.ts";
import type { MembershipEffect, MembershipState } from "./state.ts";

/** Members in a group, next to each other on the ring. */
const groupSize = 16;

/** Tells the head of the group this node's version. */
export function reportApplied(state: MembershipState): MembershipEffect[] {
  const { id } = state.self;
  const { ring } = overlayOf(state);
  const index = ring.ids.indexOf(id);
  const head = ring.ids[index - index % groupSize] ?? id;
  if (head === id) {
    state.reports.set(id, state.applied);
    return [];
  }
  const reports = [{ version: state.applied, nodes: [id] }];
  return [send(head, { type: "membership/applied", reports })];
}

/** Notes reports. What a member tells of itself is passed on at the tick. */
export function handleReports(
  state: MembershipState,
  from: NodeId,
  reports: readonly AppliedReport[],
) {
  for (const { version, nodes } of reports) {
    for (const node of nodes) {
      raiseApplied(state, node, version);
      if (node === from) state.reports.set(node, version);
    }
  }
}

/** Passes on what was reported since the last tick. */
export function forwardReports(state: MembershipState): MembershipEffect[] {
  if (state.reports.size === 0) return [];
  const byVersion = new Map<Offset, NodeId[]>();
  for (const [node, version] of state.reports) {
    const nodes = byVersion.get(version) ?? [];
    byVersion.set(version, [...nodes, node]);
  }
  state.reports.clear();
  const reports = [...byVersion].map(([version, nodes]) => ({
    version,
    nodes,
  }));
  return overlayOf(state).readers.filter((to) => to !== state.self.id)
    .map((to) => send(to, { type: "membership/applied", reports }));
}

/** Raises the version known of a member. It never falls. */
export function raiseApplied(
  state: MembershipState,
  node: NodeId,
  version: Offset,
) {
  for (const rows of [state.members, state.departed]) {
    const known = rows.get(node);
    if (known === undefined || known.row.applied >= version) continue;
    rows.set(node, { ...known, row: { ...known.row, applied: version } });
  }
}
