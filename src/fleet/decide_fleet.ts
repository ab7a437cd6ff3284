/**
 * Merges the rows of nodes, and decides which nodes to keep links to.
 * @module
 */
import { exhausted } from "../core/exhausted.ts";
import type { MonotonicMs, NodeId } from "../core/types.ts";
import {
  type FleetEffect,
  type FleetEvent,
  type FleetState,
  type NodeRow,
  ownRow,
  type RowEndpoint,
} from "./state.ts";

/**
 * A node without a link for this long is forgotten, in milliseconds. A VM that
 * was replaced never comes back to its address; one that does dials itself.
 */
const forgetAfterMs = 120_000;

/** Takes one event of the fleet in turn. */
export function decideFleet(
  state: FleetState,
  event: FleetEvent,
): readonly FleetEffect[] {
  switch (event.type) {
    case "row-changed":
      return changeOwnRow(state, event.endpoint, event.now);
    case "rows-heard":
      return takeRows(state, event.rows, event.now);
    case "nodes-found":
      return event.nodes.flatMap((node) => meet(state, node, event.now));
    case "linked":
      state.linked.add(event.node);
      state.seenAt.set(event.node, event.now);
      state.isIndexStale = true;
      return [];
    case "unlinked":
      state.linked.delete(event.node);
      state.seenAt.set(event.node, event.now);
      state.isIndexStale = true;
      return [];
    case "ticked":
      return forgetLost(state, event.now);
    default:
      return exhausted(event);
  }
}

function changeOwnRow(
  state: FleetState,
  endpoint: RowEndpoint | undefined,
  now: MonotonicMs,
): readonly FleetEffect[] {
  const { revision, ...rest } = ownRow(state);
  const row = { ...rest, endpoint, revision: revision + 1 };
  state.rows.set(state.self, { row, takenAt: now });
  state.isIndexStale = true;
  return [{ type: "tell", row }];
}

function takeRows(
  state: FleetState,
  rows: readonly NodeRow[],
  now: MonotonicMs,
): readonly FleetEffect[] {
  const effects: FleetEffect[] = [];
  let isChanged = false;
  for (const row of rows) {
    if (row.node === state.self) {
      effects.push(...outbid(state, row, now));
      continue;
    }
    const known = state.rows.get(row.node);
    effects.push(...meet(state, row.node, now));
    if (known !== undefined && row.revision <= known.row.revision) continue;
    state.rows.set(row.node, { row, takenAt: now });
    isChanged = true;
  }
  if (isChanged) state.isIndexStale = true;
  return effects;
}

/** A row of this node's earlier life must not hide its present one. */
function outbid(
  state: FleetState,
  row: NodeRow,
  now: MonotonicMs,
): readonly FleetEffect[] {
  const own = ownRow(state);
  if (row.revision < own.revision) return [];
  if (row.revision === own.revision && isSameEndpoint(row, own)) return [];
  const fresh = { ...own, revision: row.revision + 1 };
  state.rows.set(state.self, { row: fresh, takenAt: now });
  return [{ type: "tell", row: fresh }];
}

function isSameEndpoint(a: NodeRow, b: NodeRow): boolean {
  return a.endpoint?.id === b.endpoint?.id;
}

function meet(
  state: FleetState,
  node: NodeId,
  now: MonotonicMs,
): readonly FleetEffect[] {
  if (node === state.self || state.seenAt.has(node)) return [];
  state.seenAt.set(node, now);
  return [{ type: "dial", node }];
}

function forgetLost(
  state: FleetState,
  now: MonotonicMs,
): readonly FleetEffect[] {
  const effects: FleetEffect[] = [];
  for (const [node, seenAt] of state.seenAt) {
    if (state.linked.has(node) || now - seenAt < forgetAfterMs) continue;
    state.seenAt.delete(node);
    state.rows.delete(node);
    effects.push({ type: "forget", node });
  }
  return effects;
}
