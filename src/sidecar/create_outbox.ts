/**
 * Collects what this node forwards to its neighbors for a moment, since changes
 * come in bursts, and each message has a cost.
 * @module
 */
import type { NodeId } from "../core/types.ts";
import type { NodeRow } from "../fleet/messages.ts";
import type { Gossip } from "../links/messages.ts";
import type { ReaderBeat } from "../reader_election/apply_beat.ts";

/** Time for which changes are collected, in milliseconds. */
const COLLECT_MS = 50;

/** Number of rows in one message. */
export const MAX_ROWS_PER_MESSAGE = 500;

/** Options of `createOutbox`. */
export interface CreateOutboxOptions {
  readonly neighbors: () => readonly NodeId[];
  readonly send: (node: NodeId, message: Gossip) => void;
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

  function schedule() {
    timer ??= setTimeout(flush, COLLECT_MS);
  }

  function flush() {
    timer = undefined;
    const [newRows, newBeats] = [[...rows.values()], [...beats.values()]];
    rows.clear();
    beats.clear();
    for (const node of opts.neighbors()) {
      for (const part of splitRows(valuesFor(newRows, node))) {
        opts.send(node, { type: "rows", rows: part });
      }
      const nodeBeats = valuesFor(newBeats, node);
      if (nodeBeats.length > 0) {
        opts.send(node, { type: "beats", beats: nodeBeats });
      }
    }
  }

  return {
    addRow(row, from) {
      rows.set(row.node, { value: row, from });
      schedule();
    },
    addBeat(beat, from) {
      beats.set(beat.node, { value: beat, from });
      schedule();
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
