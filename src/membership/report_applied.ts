/**
 * Reports the configuration versions in force on members to the readers.
 *
 * A node reports to the first node of its group on the ring. That node forwards
 * all reports of one tick in one message, so a reader receives one message per
 * group instead of one per node.
 * @module
 */
import type { NodeId, Offset } from "../core/types.ts";
import type { AppliedReport } from "./messages.ts";
import { overlayOf, send } from "./overlay_of.ts";
import type { MembershipEffect, MembershipState } from "./state.ts";

/** Number of members in a group. They are adjacent on the ring. */
const REPORT_GROUP_SIZE = 16;

/** Reports this node's version to the first node of its group. */
export function reportApplied(state: MembershipState): MembershipEffect[] {
  const { id } = state.self;
  const { ring } = overlayOf(state);
  const index = ring.ids.indexOf(id);
  const head = ring.ids[index - index % REPORT_GROUP_SIZE] ?? id;
  if (head === id) {
    state.reports.set(id, state.applied);
    return [];
  }
  const reports = [{ version: state.applied, nodes: [id] }];
  return [send(head, { type: "membership/applied", reports })];
}

/** Stores reports. A member's report of itself is forwarded at the tick. */
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

/** Forwards the reports since the last tick to the readers. */
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

/** Raises the known version of a member; a lower version is ignored. */
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
