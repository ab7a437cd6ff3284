/**
 * Merges the rows of other nodes.
 * @module
 */
import type { MonotonicMs, NodeId } from "../core/types.ts";
import { clearLost } from "./apply_lost.ts";
import type { NodeRow } from "./messages.ts";
import { rememberStopped } from "./remember_stopped.ts";
import { type FleetEffect, type FleetState, ownRow } from "./state.ts";

/** Options of `applyRows`. */
export interface ApplyRowsOptions {
  readonly rows: readonly NodeRow[];
  /** The node that sent the rows. */
  readonly from: NodeId | undefined;
  readonly now: MonotonicMs;
}

/** Stores newer rows and forwards them. */
export function applyRows(
  state: FleetState,
  { rows, from, now }: ApplyRowsOptions,
): readonly FleetEffect[] {
  const effects: FleetEffect[] = [];
  const news: NodeRow[] = [];
  for (const row of rows) {
    if (row.node === state.self) {
      effects.push(...replaceEarlierLife(state, row, now));
      continue;
    }
    if (!replacesKnownRow(state, row)) {
      effects.push(...correctSender(state, row, from));
      continue;
    }
    storeRow(state, row, now);
    effects.push(...clearLost(state, row));
    news.push(row);
  }
  if (news.length === 0) return effects;
  return [...effects, { type: "forward-rows", rows: news, except: from }];
}

export function storeRow(state: FleetState, row: NodeRow, now: MonotonicMs) {
  state.rows.set(row.node, { row, receivedAt: now });
  state.seeds.delete(row.node);
  rememberStopped(state, row, now);
  state.isIndexStale = true;
  state.isPlanStale = true;
}

/**
 * Returns whether a row replaces the known row of its node. While a link is
 * open, the process at its other end is the current one, so rows of other
 * processes are ignored.
 */
function replacesKnownRow(state: FleetState, row: NodeRow): boolean {
  const known = state.rows.get(row.node)?.row;
  if (known === undefined) return true;
  if (known.life === row.life) return row.revision > known.revision;
  return !state.linked.has(row.node) && isLaterLife(row, known);
}

/**
 * Returns whether `a` is from a later process than `b`. Of two processes with
 * equal times, any may count as the later one, but all nodes choose the same.
 */
export function isLaterLife(a: NodeRow, b: NodeRow): boolean {
  if (a.startedAt !== b.startedAt) return a.startedAt > b.startedAt;
  return a.life > b.life;
}

/**
 * Makes this process the latest at its address, if the row of an earlier one
 * counts as later: clocks of the processes may differ.
 */
function replaceEarlierLife(
  state: FleetState,
  row: NodeRow,
  now: MonotonicMs,
): readonly FleetEffect[] {
  const own = ownRow(state);
  if (row.life === own.life || isLaterLife(own, row)) return [];
  const startedAt = row.startedAt + 1;
  const next = { ...own, startedAt, revision: own.revision + 1 };
  state.rows.set(state.self, { row: next, receivedAt: now });
  return [{ type: "send-own-row", row: next }];
}

/** Tells a node that still counts a lost node as live about the loss. */
function correctSender(
  state: FleetState,
  row: NodeRow,
  from: NodeId | undefined,
): readonly FleetEffect[] {
  const mark = state.lost.get(row.node);
  const isOutdated = mark?.isApplied === true && mark.life === row.life &&
    mark.revision >= row.revision;
  if (!isOutdated || from === undefined || from === row.node) return [];
  return [{ type: "correct", node: from, row: undefined, notice: mark }];
}
