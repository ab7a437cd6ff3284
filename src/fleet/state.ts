/**
 * State of the fleet: which nodes exist, what each says of itself, and which of
 * them this node keeps links to.
 * @module
 */
import type { MonotonicMs, NodeId, WallMs } from "../core/types.ts";
import type { StoppedInstance } from "../local_endpoint/state.ts";
import type { StoppedMemory } from "./remember_stopped.ts";
import type { Candidate } from "../load_balancing/state.ts";
import { indexCandidates } from "./index_candidates.ts";
import type {
  DomainDigest,
  LostNotice,
  NodeRow,
  RowEndpoint,
} from "./messages.ts";

/** A row and when it arrived. */
export interface KnownRow {
  readonly row: NodeRow;
  readonly receivedAt: MonotonicMs;
}

/** A report that a node can't be reached. */
export interface LostMark extends LostNotice {
  readonly at: MonotonicMs;
  /**
   * False while this node has a link to the reported node, and so knows better.
   */
  readonly isApplied: boolean;
}

/** Failed attempts to open a link to a node since the last open link. */
export interface DialFailures {
  readonly count: number;
  /** When the node may be chosen again. */
  readonly retryAt: MonotonicMs;
  /** When this node last reported the other node as lost. */
  readonly reportedAt: MonotonicMs;
}

/** A link that this node keeps open. */
export interface PlannedLink {
  /** Whether the two nodes exchange the state of the fleet over it. */
  readonly isNeighbor: boolean;
  /** Since when no decision needs the link. It is closed some time later. */
  readonly unusedSince: MonotonicMs | undefined;
}

/** How many home nodes of a service this node needs links to. */
export interface ServiceDemand {
  calledAt: MonotonicMs;
  /** Home nodes beyond the usual number, after the usual ones were full. */
  extraHomes: number;
  fullAt: MonotonicMs;
}

export interface FleetState {
  readonly self: NodeId;
  readonly domain: string;
  /** Rows by node, also of nodes that are reported as lost. */
  readonly rows: Map<NodeId, KnownRow>;
  /** Failure domains of nodes that the store lists, until their row arrives. */
  readonly seeds: Map<NodeId, string>;
  readonly lost: Map<NodeId, LostMark>;
  readonly failures: Map<NodeId, DialFailures>;
  /** Links from this node. */
  readonly links: Map<NodeId, PlannedLink>;
  /**
   * Nodes with an open link whose process at the other end has sent its row.
   * `rows` holds the row of that process.
   */
  readonly linked: Set<NodeId>;
  readonly demands: Map<string, ServiceDemand>;
  /** Failure domains whose endpoints get no calls. */
  evacuated: ReadonlySet<string>;
  /**
   * Stopped instances of each node. Kept when a node's process restarts, since
   * the new process does not know them.
   */
  readonly gone: Map<NodeId, StoppedMemory>;
  /**
   * Index of candidates. Rebuilt at the first use after a change, since changes
   * come in bursts.
   */
  readonly byService: CandidateIndex;
  /** Whether rows or links have changed since the index was built. */
  isIndexStale?: boolean;
  /** Whether the links have to be planned anew at the next tick. */
  isPlanStale: boolean;
  plannedAt: MonotonicMs;
}

/** Ready endpoints by service, then by version. */
export type CandidateIndex = ReadonlyMap<
  string,
  ReadonlyMap<string, readonly Candidate[]>
>;

/** A node and its failure domain. */
export interface Member {
  readonly node: NodeId;
  readonly domain: string;
}

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
    readonly from: NodeId | undefined;
    readonly now: MonotonicMs;
  }
  /** The store lists these nodes. */
  | {
    readonly type: "nodes-found";
    readonly nodes: readonly Member[];
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
  /** An attempt to open a link failed, or an open link became unresponsive. */
  | {
    readonly type: "dial-failed";
    readonly node: NodeId;
    readonly now: MonotonicMs;
  }
  /** Another node reports a node as lost. */
  | {
    readonly type: "lost-received";
    readonly notice: LostNotice;
    readonly from: NodeId | undefined;
    readonly now: MonotonicMs;
  }
  | {
    readonly type: "digest-received";
    readonly from: NodeId;
    readonly domains: readonly DomainDigest[];
    /** Whether the peer answers this node's digest. */
    readonly isAnswer: boolean;
  }
  /** The operator evacuated other failure domains than before. */
  | {
    readonly type: "evacuations-changed";
    readonly domains: ReadonlySet<string>;
  }
  /** Calls to these services may arrive. */
  | {
    readonly type: "services-listed";
    readonly services: readonly string[];
    readonly now: MonotonicMs;
  }
  /** A call to a service arrived at this node. */
  | {
    readonly type: "called";
    readonly service: string;
    /** Whether all linked home nodes of the service seem to be full. */
    readonly isFull: boolean;
    readonly now: MonotonicMs;
  }
  | {
    readonly type: "ticked";
    /** Nodes that need messages from this node directly. */
    readonly leaders: ReadonlySet<NodeId>;
    readonly now: MonotonicMs;
  };

export type FleetEffect =
  /** Open and keep a link to a node. */
  | {
    readonly type: "dial";
    readonly node: NodeId;
    readonly isNeighbor: boolean;
  }
  /** Tell the node at the other end of a link whether it is a neighbor now. */
  | {
    readonly type: "set-neighbor";
    readonly node: NodeId;
    readonly isNeighbor: boolean;
  }
  /** Close a link once no call uses it. */
  | { readonly type: "remove-link"; readonly node: NodeId }
  /** Request the row of the process at the other end of the link. */
  | { readonly type: "send-hello"; readonly node: NodeId }
  /** Send this node's row to all nodes with a link in either direction. */
  | { readonly type: "send-own-row"; readonly row: NodeRow }
  /** Send rows to the neighbors. */
  | {
    readonly type: "forward-rows";
    readonly rows: readonly NodeRow[];
    readonly except: NodeId | undefined;
  }
  /** Send a report that a node is lost to the neighbors. */
  | {
    readonly type: "forward-lost";
    readonly notice: LostNotice;
    readonly except: NodeId | undefined;
  }
  /** Send a node what this node knows of it, which it may have to correct. */
  | {
    readonly type: "correct";
    readonly node: NodeId;
    readonly row: NodeRow | undefined;
    readonly notice: LostNotice | undefined;
  }
  /** Request the rows of failure domains from a node. */
  | {
    readonly type: "request-rows";
    readonly node: NodeId;
    readonly domains: readonly string[];
  }
  /** Answer a node's digest with that of this node. */
  | { readonly type: "send-digest"; readonly node: NodeId }
  /** Find out whether a linked node that is reported as lost answers. */
  | { readonly type: "probe"; readonly node: NodeId }
  /** A node is reported as lost. */
  | { readonly type: "node-lost"; readonly node: NodeId };

/** Options of `createFleetState`. */
export interface CreateFleetStateOptions {
  readonly self: NodeId;
  readonly domain: string;
  /** Unique among all processes at this address. */
  readonly life: string;
  readonly startedAt: WallMs;
}

export function createFleetState(opts: CreateFleetStateOptions): FleetState {
  const row = {
    node: opts.self,
    domain: opts.domain,
    life: opts.life,
    startedAt: opts.startedAt,
    revision: 0,
  };
  let index: CandidateIndex = new Map();
  return {
    self: opts.self,
    domain: opts.domain,
    rows: new Map([[opts.self, { row, receivedAt: -Infinity }]]),
    seeds: new Map(),
    lost: new Map(),
    failures: new Map(),
    links: new Map(),
    linked: new Set(),
    demands: new Map(),
    evacuated: new Set(),
    gone: new Map(),
    get byService() {
      if (this.isIndexStale === true) index = indexCandidates(this);
      this.isIndexStale = false;
      return index;
    },
    isIndexStale: false,
    isPlanStale: true,
    plannedAt: -Infinity,
  };
}

/** Returns the row of this node. */
export function ownRow(state: FleetState): NodeRow {
  const own = state.rows.get(state.self);
  if (own === undefined) throw new TypeError("fleet state has no own row");
  return own.row;
}

/** Whether a node is known and not reported as lost. */
export function isLive(state: FleetState, node: NodeId): boolean {
  return state.rows.has(node) && state.lost.get(node)?.isApplied !== true;
}

/** Returns the rows of all nodes that are not reported as lost. */
export function liveRows(state: FleetState): KnownRow[] {
  return [...state.rows.values()].filter(({ row }) => isLive(state, row.node));
}

/** Returns the number of nodes that are not reported as lost, with this one. */
export function countLive(state: FleetState): number {
  let lost = 0;
  for (const { isApplied } of state.lost.values()) if (isApplied) lost++;
  return state.rows.size - lost;
}
