/**
 * Collects what this node forwards to its neighbors for a moment, since changes
 * come in bursts, and each message has a cost.
 * @module
 */
import type { MonotonicMs, NodeId } from "../core/types.ts";
import type { NodeRow } from "../fleet/messages.ts";
import type { Gossip } from "../links/messages.ts";
import {
  isForwardedTo,
  type ReaderBeat,
} from "../reader_election/apply_beat.ts";

/**
 * Time for which rows and beats are collected, in milliseconds. Beats are
 * repeated all the time, and are not urgent.
 */
const COLLECT_ROWS_MS = 50;
const COLLECT_BEATS_MS = 100;

/** Number of rows in one message. */
export const MAX_ROWS_PER_MESSAGE = 500;

/** Options of `createOutbox`. */
export interface CreateOutboxOptions {
  readonly neighbors: () => readonly NodeId[];
  readonly send: (node: NodeId, message: Gossip) => void;
  readonly domainOf: (node: NodeId) => string | undefined;
  readonly now: () => MonotonicMs;
}

export interface Outbox {
  /** Forwards a row to all neighbors but the one that it came from. */
  addRow(row: NodeRow, from: NodeId | undefined): void;
  addBeat(beat: ReaderBeat, from: NodeId | undefined): void;
  close(): void;
}

interface Item<T> {
  readonly value: T;
  readonly from: NodeId | undefined;
}

/** Creates an empty outbox. */
export function createOutbox(opts: CreateOutboxOptions): Outbox {
  const rows = new Map<NodeId, Item<NodeRow>>();
  const beats = new Map<NodeId, Item<ReaderBeat>>();
  let timer: NodeJS.Timeout | undefined;
  let dueAt = Infinity;

  function schedule(delayMs: number) {
    const at = opts.now() + delayMs;
    if (at >= dueAt) return;
    clearTimeout(timer);
    dueAt = at;
    timer = setTimeout(flush, delayMs);
  }

  function flush() {
    dueAt = Infinity;
    const [newRows, newBeats] = [[...rows.values()], [...beats.values()]];
    rows.clear();
    beats.clear();
    for (const node of opts.neighbors()) {
      for (const part of splitRows(valuesFor(newRows, node))) {
        opts.send(node, { type: "rows", rows: part });
      }
      const domain = opts.domainOf(node);
      const nodeBeats = valuesFor(newBeats, node)
        .filter((beat) => isForwardedTo(beat, domain));
      if (nodeBeats.length > 0) {
        opts.send(node, { type: "beats", beats: nodeBeats });
      }
    }
  }

  return {
    addRow(row, from) {
      rows.set(row.node, { value: row, from });
      schedule(COLLECT_ROWS_MS);
    },
    addBeat(beat, from) {
      beats.set(beat.node, { value: beat, from });
      schedule(COLLECT_BEATS_MS);
    },
    close: () => clearTimeout(timer),
  };
}

/** Splits rows into messages of limited size. */
export function splitRows(rows: readonly NodeRow[]): (readonly NodeRow[])[] {
  const parts: (readonly NodeRow[])[] = [];
  for (let at = 0; at < rows.length; at += MAX_ROWS_PER_MESSAGE) {
    parts.push(rows.slice(at, at + MAX_ROWS_PER_MESSAGE));
  }
  return parts;
}

function valuesFor<T>(items: readonly Item<T>[], node: NodeId): T[] {
  return items.flatMap(({ value, from }) => from === node ? [] : [value]);
}
