/**
 * Rows that nodes keep of themselves and tell each other.
 * @module
 */
import type { MonotonicMs, NodeId } from "../core/types.ts";
import type { StoppedInstance } from "../local_endpoint/state.ts";
import type { Candidate } from "../load_balancing/state.ts";
import { indexCandidates } from "./index_candidates.ts";

/** An endpoint that takes calls. */
export interface RowEndpoint {
  readonly id: string;
  readonly service: string;
  readonly version: string;
  readonly slots: number;
  /** How much longer it was slow when the row was made, in milliseconds. */
  readonly coldMs: number;
}

/** What a node says of itself. Only the node changes its own row. */
export interface NodeRow {
  readonly node: NodeId;
  readonly domain: string;
  /** Names the process. New at each start. */
  readonly life: string;
  /** Grows with each change within a life. */
  readonly revision: number;
  /** Absent while the endpoint takes no new calls. */
  readonly endpoint?: RowEndpoint | undefined;
  /** Starts of its endpoint whose leaving the node has confirmed. */
  readonly gone?: readonly StoppedInstance[];
}

/** A row and when it came. */
export interface KnownRow {
  readonly row: NodeRow;
  readonly takenAt: MonotonicMs;
}

export interface FleetState {
  readonly self: NodeId;
  readonly rows: Map<NodeId, KnownRow>;
  /**
   * Nodes whose process at the other end of an open link has told its own row.
   * That row is the one kept.
   */
  readonly linked: Set<NodeId>;
  /** When a node was last linked, or first heard of. */
  readonly seenAt: Map<NodeId, MonotonicMs>;
  /**
   * What nodes last said of starts that are gone. Kept over their lives: a
   * process that starts again at an address has forgotten it.
   */
  readonly gone: Map<NodeId, readonly StoppedInstance[]>;
  /** Built when it is used after a change: changes come in crowds. */
  readonly byService: CandidateIndex;
  /** Whether rows or links have changed since the index was built. */
  isIndexStale?: boolean;
}

/** Ready endpoints by service, then by version. */
export type CandidateIndex = ReadonlyMap<
  string,
  ReadonlyMap<string, readonly Candidate[]>
>;

export type FleetEvent =
  | {
    readonly type: "row-changed";
    readonly endpoint: RowEndpoint | undefined;
    readonly gone: readonly StoppedInstance[];
    readonly now: MonotonicMs;
  }
  | {
    readonly type: "rows-heard";
    readonly rows: readonly NodeRow[];
    readonly now: MonotonicMs;
  }
  /** Addresses without a row, such as those kept in the store. */
  | {
    readonly type: "nodes-found";
    readonly nodes: readonly NodeId[];
    readonly now: MonotonicMs;
  }
  /** The process at the other end of a link from here told its own row. */
  | {
    readonly type: "confirmed";
    readonly row: NodeRow;
    readonly now: MonotonicMs;
  }
  /** A process opened a link to this node. */
  | {
    readonly type: "greeted";
    readonly row: NodeRow;
    readonly now: MonotonicMs;
  }
  /** A home refused a call that fits its row. */
  | {
    readonly type: "doubted";
    readonly node: NodeId;
    readonly now: MonotonicMs;
  }
  | {
    readonly type: "unlinked";
    readonly node: NodeId;
    readonly now: MonotonicMs;
  }
  | { readonly type: "ticked"; readonly now: MonotonicMs };

export type FleetEffect =
  /** Keep a link to a node that was not known. */
  | { readonly type: "dial"; readonly node: NodeId }
  | { readonly type: "forget"; readonly node: NodeId }
  /** Ask the process at the other end of the link for its row. */
  | { readonly type: "greet"; readonly node: NodeId }
  /** Tell all linked nodes. */
  | { readonly type: "tell"; readonly row: NodeRow };

/** Options of `createFleetState`. */
export interface CreateFleetStateOptions {
  readonly self: NodeId;
  readonly domain: string;
  /** Differs from that of every other process at this address. */
  readonly life: string;
}

export function createFleetState(opts: CreateFleetStateOptions): FleetState {
  const row = {
    node: opts.self,
    domain: opts.domain,
    life: opts.life,
    revision: 0,
  };
  let index: CandidateIndex = new Map();
  return {
    self: opts.self,
    rows: new Map([[opts.self, { row, takenAt: -Infinity }]]),
    linked: new Set(),
    seenAt: new Map(),
    gone: new Map(),
    get byService() {
      if (this.isIndexStale === true) index = indexCandidates(this);
      this.isIndexStale = false;
      return index;
    },
    isIndexStale: false,
  };
}

/** This node's own row. */
export function ownRow(state: FleetState): NodeRow {
  const own = state.rows.get(state.self);
  if (own === undefined) throw new TypeError("a node always has its own row");
  return own.row;
}
