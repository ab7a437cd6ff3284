/**
 * State of the fleet. Each node describes itself in a row and sends it to the
 * other nodes.
 * @module
 */
import type { MonotonicMs, NodeId } from "../core/types.ts";
import type { StoppedInstance } from "../local_endpoint/state.ts";
import type { Candidate } from "../load_balancing/state.ts";
import { indexCandidates } from "./index_candidates.ts";

/** An endpoint that accepts calls, as its node describes it. */
export interface RowEndpoint {
  readonly id: string;
  readonly service: string;
  readonly version: string;
  readonly slots: number;
  /**
   * Remaining time of its cold start when the row was made, in milliseconds.
   */
  readonly coldMs: number;
}

/** Description that a node sends of itself. Only that node changes it. */
export interface NodeRow {
  readonly node: NodeId;
  readonly domain: string;
  /** Id of the process lifetime. New at each start of the process. */
  readonly life: string;
  /** Increases with each change of the row within a process lifetime. */
  readonly revision: number;
  /** Absent while the endpoint accepts no new calls. */
  readonly endpoint?: RowEndpoint | undefined;
  /**
   * Instances of its endpoint that stopped: the node has received their leave
   * message or a draining ping.
   */
  readonly gone?: readonly StoppedInstance[];
}

/** A row and when it arrived. */
export interface KnownRow {
  readonly row: NodeRow;
  readonly receivedAt: MonotonicMs;
}

export interface FleetState {
  readonly self: NodeId;
  readonly rows: Map<NodeId, KnownRow>;
  /**
   * Nodes with an open link whose process at the other end has sent its row.
   * `rows` holds the row of that process.
   */
  readonly linked: Set<NodeId>;
  /**
   * When the link to a node was last confirmed or lost. Before the first link,
   * when the node was discovered.
   */
  readonly seenAt: Map<NodeId, MonotonicMs>;
  /**
   * Stopped instances that each node last reported. Kept when a node's process
   * restarts, since the new process does not know them.
   */
  readonly gone: Map<NodeId, readonly StoppedInstance[]>;
  /**
   * Index of candidates. Rebuilt at the first use after a change, since changes
   * come in bursts.
   */
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
  /** The endpoint on this VM or its stopped instances changed. */
  | {
    readonly type: "row-changed";
    readonly endpoint: RowEndpoint | undefined;
    readonly gone: readonly StoppedInstance[];
    readonly now: MonotonicMs;
  }
  /** Rows arrived, possibly forwarded by other nodes. */
  | {
    readonly type: "rows-received";
    readonly rows: readonly NodeRow[];
    readonly now: MonotonicMs;
  }
  /**
   * Addresses of nodes were discovered without rows, for example in the store.
   */
  | {
    readonly type: "nodes-found";
    readonly nodes: readonly NodeId[];
    readonly now: MonotonicMs;
  }
  /** The process at the other end of a link from this node sent its row. */
  | {
    readonly type: "confirmed";
    readonly row: NodeRow;
    readonly now: MonotonicMs;
  }
  /** A process opened a link to this node or sent its row over one. */
  | {
    readonly type: "hello-received";
    readonly row: NodeRow;
    readonly now: MonotonicMs;
  }
  /** A node refused as misdirected a call that matches its row. */
  | {
    readonly type: "suspected";
    readonly node: NodeId;
    readonly now: MonotonicMs;
  }
  /** A link from this node closed. */
  | {
    readonly type: "unlinked";
    readonly node: NodeId;
    readonly now: MonotonicMs;
  }
  | { readonly type: "ticked"; readonly now: MonotonicMs };

export type FleetEffect =
  /** Open and keep a link to a newly discovered node. */
  | { readonly type: "dial"; readonly node: NodeId }
  /** Close the link to a node that has been removed from the fleet. */
  | { readonly type: "remove-link"; readonly node: NodeId }
  /** Request the row of the process at the other end of the link. */
  | { readonly type: "send-hello"; readonly node: NodeId }
  /** Send this node's row to all nodes with a link. */
  | { readonly type: "send-row"; readonly row: NodeRow };

/** Options of `createFleetState`. */
export interface CreateFleetStateOptions {
  readonly self: NodeId;
  readonly domain: string;
  /** Unique among all processes at this address. */
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
    rows: new Map([[opts.self, { row, receivedAt: -Infinity }]]),
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

/** Returns the row of this node. */
export function ownRow(state: FleetState): NodeRow {
  const own = state.rows.get(state.self);
  if (own === undefined) throw new TypeError("fleet state has no own row");
  return own.row;
}
