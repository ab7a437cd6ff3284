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
 * Time without a link after which a node is removed, in milliseconds. A
 * replaced VM never returns to its address, and a node that does return opens a
 * link.
 */
const FORGET_AFTER_MS = 120_000;

/** Applies one event to the fleet and returns the effects to carry out. */
export function decideFleet(
  state: FleetState,
  event: FleetEvent,
): readonly FleetEffect[] {
  switch (event.type) {
    case "row-changed":
      return changeOwnRow(state, event);
    case "rows-received":
      return applyRows(state, event.rows, event.now);
    case "nodes-found":
      return event.nodes.flatMap((node) => addNode(state, node, event.now));
    case "confirmed":
      return confirm(state, event.row, event.now);
    case "hello-received":
      return handleHello(state, event.row, event.now);
    case "suspected":
      return requestRow(state, event.node, event.now);
    case "unlinked":
      state.linked.delete(event.node);
      state.seenAt.set(event.node, event.now);
      state.isIndexStale = true;
      return [];
    case "ticked":
      return forgetUnlinked(state, event.now);
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
  state.rows.set(state.self, { row, receivedAt: now });
  state.isIndexStale = true;
  return [{ type: "send-row", row }];
}

function applyRows(
  state: FleetState,
  rows: readonly NodeRow[],
  now: MonotonicMs,
): readonly FleetEffect[] {
  const effects: FleetEffect[] = [];
  let isChanged = false;
  for (const row of rows) {
    // Only this process changes this node's row, so received copies are
    // ignored.
    if (row.node === state.self) continue;
    effects.push(...addNode(state, row.node, now));
    if (!replacesKnownRow(state, row)) continue;
    storeRow(state, row, now);
    isChanged = true;
  }
  if (isChanged) state.isIndexStale = true;
  return effects;
}

function storeRow(state: FleetState, row: NodeRow, now: MonotonicMs) {
  state.rows.set(row.node, { row, receivedAt: now });
  const { gone = [] } = row;
  if (gone.length > 0) state.gone.set(row.node, gone);
}

/**
 * Returns whether a row replaces the known row of its node. Clocks can't order
 * the processes at one address. While a link is open, the process at its other
 * end is the current one, so rows of other processes are ignored.
 */
function replacesKnownRow(state: FleetState, row: NodeRow): boolean {
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
    storeRow(state, row, now);
  }
  const effects = addNode(state, node, now);
  state.linked.add(node);
  state.seenAt.set(node, now);
  state.isIndexStale = true;
  return effects;
}

/**
 * Applies the row of a process that opened a link to this node. If it is not
 * the process of the link from this node, that link may lead to an earlier
 * process.
 */
function handleHello(
  state: FleetState,
  row: NodeRow,
  now: MonotonicMs,
): readonly FleetEffect[] {
  const known = state.rows.get(row.node)?.row;
  const effects = known?.life === row.life
    ? []
    : requestRow(state, row.node, now);
  return [...effects, ...applyRows(state, [row], now)];
}

/** Stops sending calls to a node until it has sent its row again. */
function requestRow(
  state: FleetState,
  node: NodeId,
  now: MonotonicMs,
): readonly FleetEffect[] {
  if (!state.linked.delete(node)) return [];
  state.seenAt.set(node, now);
  state.isIndexStale = true;
  return [{ type: "send-hello", node }];
}

function addNode(
  state: FleetState,
  node: NodeId,
  now: MonotonicMs,
): readonly FleetEffect[] {
  if (node === state.self || state.seenAt.has(node)) return [];
  state.seenAt.set(node, now);
  return [{ type: "dial", node }];
}

function forgetUnlinked(
  state: FleetState,
  now: MonotonicMs,
): readonly FleetEffect[] {
  const effects: FleetEffect[] = [];
  for (const [node, seenAt] of state.seenAt) {
    if (state.linked.has(node) || now - seenAt < FORGET_AFTER_MS) continue;
    state.seenAt.delete(node);
    state.rows.delete(node);
    state.gone.delete(node);
    effects.push({ type: "remove-link", node });
  }
  return effects;
}
