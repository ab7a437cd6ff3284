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
      return changeOwnRow(state, event);
    case "rows-heard":
      return takeRows(state, event.rows, event.now);
    case "nodes-found":
      return event.nodes.flatMap((node) => meet(state, node, event.now));
    case "confirmed":
      return confirm(state, event.row, event.now);
    case "greeted":
      return takeGreeting(state, event.row, event.now);
    case "doubted":
      return doubt(state, event.node, event.now);
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
  event: Extract<FleetEvent, { type: "row-changed" }>,
): readonly FleetEffect[] {
  const { endpoint, gone, now } = event;
  const { revision, ...rest } = ownRow(state);
  const row = { ...rest, endpoint, gone, revision: revision + 1 };
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
    // Only this process knows its own row.
    if (row.node === state.self) continue;
    effects.push(...meet(state, row.node, now));
    if (!isNews(state, row)) continue;
    keepRow(state, row, now);
    isChanged = true;
  }
  if (isChanged) state.isIndexStale = true;
  return effects;
}

function keepRow(state: FleetState, row: NodeRow, now: MonotonicMs) {
  state.rows.set(row.node, { row, takenAt: now });
  const { gone = [] } = row;
  if (gone.length > 0) state.gone.set(row.node, gone);
}

/**
 * Whether a row replaces the one that is known. Clocks can't order the
 * processes at one address, so only the open link tells which one is there.
 */
function isNews(state: FleetState, row: NodeRow): boolean {
  const known = state.rows.get(row.node)?.row;
  if (known === undefined) return true;
  if (known.life === row.life) return row.revision > known.revision;
  return !state.linked.has(row.node);
}

function confirm(
  state: FleetState,
  row: NodeRow,
  now: MonotonicMs,
): readonly FleetEffect[] {
  const { node } = row;
  if (node === state.self) return [];
  const known = state.rows.get(node)?.row;
  if (known?.life !== row.life || row.revision > known.revision) {
    keepRow(state, row, now);
  }
  const effects = meet(state, node, now);
  state.linked.add(node);
  state.seenAt.set(node, now);
  state.isIndexStale = true;
  return effects;
}

/** A greeting of another life casts doubt on the process that is linked. */
function takeGreeting(
  state: FleetState,
  row: NodeRow,
  now: MonotonicMs,
): readonly FleetEffect[] {
  const known = state.rows.get(row.node)?.row;
  const effects = known?.life === row.life ? [] : doubt(state, row.node, now);
  return [...effects, ...takeRows(state, [row], now)];
}

/** Keeps a node from calls until it has told its row once more. */
function doubt(
  state: FleetState,
  node: NodeId,
  now: MonotonicMs,
): readonly FleetEffect[] {
  if (!state.linked.delete(node)) return [];
  state.seenAt.set(node, now);
  state.isIndexStale = true;
  return [{ type: "greet", node }];
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
    state.gone.delete(node);
    effects.push({ type: "forget", node });
  }
  return effects;
}
