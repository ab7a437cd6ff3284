/**
 * Merges reports that nodes can't be reached.
 *
 * A report is valid for one process and revision of a node's row. A node that
 * still runs refutes it by raising its revision, so a node that was only slow or
 * cut off for a while is used again.
 * @module
 */
import type { MonotonicMs, NodeId } from "../core/types.ts";
import type { LostNotice, NodeRow } from "./messages.ts";
import { type FleetEffect, type FleetState, ownRow } from "./state.ts";

/** Options of `applyLost`. */
export interface ApplyLostOptions {
  readonly notice: LostNotice;
  /** The node that sent the report. */
  readonly from: NodeId | undefined;
  readonly now: MonotonicMs;
}

/** Applies another node's report, and forwards it if it is new. */
export function applyLost(
  state: FleetState,
  { notice, from, now }: ApplyLostOptions,
): readonly FleetEffect[] {
  if (notice.node === state.self) return refute(state, notice, now);
  const row = state.rows.get(notice.node)?.row;
  if (row?.life !== notice.life || row.revision > notice.revision) return [];
  const known = state.lost.get(notice.node);
  const isKnown = known?.life === notice.life &&
    known.revision >= notice.revision;
  return isKnown ? [] : mark(state, notice, from, now);
}

/** Reports a node that this node can't open a link to. */
export function reportLost(
  state: FleetState,
  node: NodeId,
  now: MonotonicMs,
): readonly FleetEffect[] {
  const row = state.rows.get(node)?.row;
  if (row === undefined) return [];
  const { life, revision } = row;
  const known = state.lost.get(node);
  const isKnown = known?.isApplied === true && known.life === life &&
    known.revision >= revision;
  return isKnown ? [] : mark(state, { node, life, revision }, undefined, now);
}

function mark(
  state: FleetState,
  notice: LostNotice,
  from: NodeId | undefined,
  now: MonotonicMs,
): readonly FleetEffect[] {
  const { node, life, revision } = notice;
  const isApplied = !state.linked.has(node);
  state.lost.set(node, { node, life, revision, at: now, isApplied });
  state.isPlanStale = true;
  const effects: FleetEffect[] = [
    { type: "forward-lost", notice: { node, life, revision }, except: from },
  ];
  effects.push({ type: isApplied ? "node-lost" : "probe", node });
  return effects;
}

/** Shows that this node runs, by a revision that no report names. */
function refute(
  state: FleetState,
  notice: LostNotice,
  now: MonotonicMs,
): readonly FleetEffect[] {
  const own = ownRow(state);
  if (notice.life !== own.life || notice.revision < own.revision) return [];
  const row = { ...own, revision: notice.revision + 1 };
  state.rows.set(state.self, { row, receivedAt: now });
  return [{ type: "send-own-row", row }];
}

/**
 * Removes the mark of a node whose row shows that it runs. If a linked node has
 * not refuted the report yet, it is told of the report, so that it does so.
 */
export function clearLost(
  state: FleetState,
  row: NodeRow,
): readonly FleetEffect[] {
  const { node, life, revision } = row;
  const known = state.lost.get(node);
  if (known === undefined) return [];
  state.isPlanStale = true;
  const isRefuted = known.life !== life || known.revision < revision;
  if (isRefuted) {
    state.lost.delete(node);
    return [];
  }
  if (!state.linked.has(node)) return [];
  state.lost.set(node, { ...known, isApplied: false });
  return [{ type: "correct", node, row: undefined, notice: known }];
}
