/**
 * State, events and effects of membership: the members of this node's failure
 * domain, and one summary for each other failure domain.
 *
 * The home node of an endpoint is the node on the same VM, the only one that
 * opens connections to it. Events, effects and the options of the state are
 * written to recorded traces, so their keys and values are fixed.
 * @module
 */
import type {
  Announcement,
  EndpointId,
  HomeCapacity,
  MonotonicMs,
  NodeId,
  NodeInfo,
  Offset,
  RemoteCapacity,
} from "../core/types.ts";
import type { Ring } from "../overlay/build_ring.ts";
import {
  type DomainSummary,
  type KnownMember,
  type MemberRow,
  type MembershipMessage,
  MemberStatus,
} from "./messages.ts";
import { createSums } from "./sum_rows.ts";

/** An endpoint on this node's VM, with its last announcement. */
export interface OwnEndpoint {
  readonly announcement: Announcement;
  /** Time of the last announcement. */
  readonly receivedAt: MonotonicMs;
  readonly readySince: MonotonicMs;
}

/** Another domain's summary. */
export interface KnownSummary {
  readonly summary: DomainSummary;
  /** Time at which the summary or a matching digest was last received. */
  readonly receivedAt: MonotonicMs;
}

/** The ring of members and the log's readers, rebuilt when members change. */
export interface Overlay {
  readonly ring: Ring;
  readonly readers: readonly NodeId[];
}

export interface MembershipState {
  readonly self: NodeInfo;
  /** Addresses of peers from the settings. */
  readonly seeds: readonly NodeId[];
  /**
   * Addresses of peers from joins, welcomes, rows and presence records, the
   * newest last. Used to find the fleet again.
   */
  knownPeers: Set<NodeId>;
  incarnation: number;
  revision: number;
  applied: Offset;
  /**
   * Version floor: the lowest configuration version that this node may serve.
   * Undefined until it is known.
   */
  floor: Offset | undefined;
  /**
   * Highest floor received so far, from answers of peers and from rows of an
   * earlier process at this address.
   */
  receivedFloor: Offset;
  /** Tick of the first floor received that a peer had in memory. */
  floorReceivedAtTick: number | undefined;
  /**
   * Floor requests that wait for the next read of the log's head: the domain of
   * each requesting node.
   */
  queuedFloorRequests: Map<NodeId, string>;
  /**
   * Floor requests that the read of the log's head in progress will answer.
   * Undefined when no read is in progress.
   */
  activeFloorRequests: Map<NodeId, string> | undefined;
  isLeaving: boolean;
  ticks: number;
  /** True once a member of this domain has sent its view. */
  hasJoined: boolean;
  /** Joins that may still be answered in this tick. */
  joinsLeft: number;
  /** Tick in which this node last answered bucket sums that differ. */
  syncedAtTick: number;
  /** Rows to broadcast at the next tick. */
  pendingRows: MemberRow[];
  /** Live and suspect members, this node included. */
  members: Map<NodeId, KnownMember>;
  /**
   * Members that died or left, oldest first. Kept because their applied
   * versions count towards the floor of a later process at their address.
   */
  departed: Map<NodeId, KnownMember>;
  /** Time at which each suspect was first suspected. */
  suspects: Map<NodeId, MonotonicMs>;
  /** Consecutive pings without an answer, by pinged successor. */
  unansweredPings: Map<NodeId, number>;
  /** Sums of the members' rows, by bucket. */
  sums: number[];
  overlay: Overlay | undefined;
  /** Endpoints on this node's VM. */
  own: Map<EndpointId, OwnEndpoint>;
  /** Home nodes with ready endpoints, by `service@version`. */
  homes: Map<string, HomeCapacity[]>;
  /** Other domains with ready endpoints, by `service@version`. */
  remotes: Map<string, RemoteCapacity[]>;
  /** The home node that announced each endpoint last. */
  homeByEndpoint: Map<EndpointId, NodeId>;
  /** Summaries of other domains, by domain. */
  summaries: Map<string, KnownSummary>;
  /**
   * Time of receipt by domain, for summaries of other domains that no member
   * has broadcast in this domain yet.
   */
  unrelayedSummaries: Map<string, MonotonicMs>;
  /** Greatest revision seen of a summary of this domain. */
  summaryRevision: number;
  /** Content of the last published summary, so that only changes are sent. */
  published: {
    readonly status: string;
    readonly services: string;
    readonly gatewayList: string;
    readonly summary: DomainSummary | undefined;
  };
  /** Members' versions in force, to forward to the readers at the next tick. */
  reports: Map<NodeId, Offset>;
  /** Time of the last presence record that this node wrote. */
  presenceAt: MonotonicMs;
}

export type MembershipEvent =
  | {
    readonly type: "ticked";
    readonly now: MonotonicMs;
    /** Random number from 0 to 1. */
    readonly random: number;
    /** Nodes of this domain listed in the log's presence record. */
    readonly presence: readonly NodeId[];
  }
  | {
    readonly type: "received";
    readonly from: NodeId;
    readonly message: MembershipMessage;
    readonly now: MonotonicMs;
  }
  /** An endpoint on this node's VM announced itself. */
  | {
    readonly type: "announced";
    readonly announcement: Announcement;
    readonly now: MonotonicMs;
  }
  /** This node put a configuration version in force. */
  | {
    readonly type: "applied";
    readonly version: Offset;
    readonly now: MonotonicMs;
  }
  /** The configuration holds every record that the log had at the start. */
  | { readonly type: "caught-up"; readonly now: MonotonicMs }
  /** The configuration holds the log up to the head that `read-head` found. */
  | { readonly type: "head-reached"; readonly version: Offset }
  /** The log's head could not be read. */
  | { readonly type: "head-unknown" }
  /** Addresses of nodes, read from new presence records of the log. */
  | { readonly type: "seeded"; readonly seeds: readonly NodeId[] }
  /** This node begins to shut down. */
  | { readonly type: "leaving"; readonly now: MonotonicMs };

export type MembershipEffect =
  | {
    readonly type: "send";
    readonly to: NodeId;
    readonly message: MembershipMessage;
  }
  /** Upstreams came or went, so the route table may have to change. */
  | { readonly type: "upstreams-changed" }
  /** The version floor of this node is known. */
  | { readonly type: "floor-known"; readonly floor: Offset }
  /**
   * Read the log's head, and report `head-reached` once the configuration holds
   * every record up to it.
   */
  | { readonly type: "read-head" }
  /** Write a sample of the domain's live nodes to the log. */
  | { readonly type: "record-presence"; readonly nodes: readonly NodeId[] }
  | {
    readonly type: "member-changed";
    readonly node: NodeId;
    readonly status: MemberStatus;
  }
  /** A peer's address or domain contradicts this node's view. */
  | {
    readonly type: "refuse-peer";
    readonly peer: NodeId;
    readonly reason: string;
  };

/** Maximum number of joins that a node answers in one tick. */
export const MAX_JOINS_PER_TICK = 8;

/** Options of `createMembershipState`. */
export interface CreateMembershipStateOptions {
  readonly self: NodeInfo;
  readonly seeds: readonly NodeId[];
  /** Wall-clock time of the start, which orders the restarts of a node. */
  readonly startedAt: number;
  readonly now: MonotonicMs;
}

/** Creates the state of a node that knows only its seeds and itself. */
export function createMembershipState(
  opts: CreateMembershipStateOptions,
): MembershipState {
  const { self, seeds, startedAt, now } = opts;
  const row: MemberRow = {
    info: self,
    incarnation: startedAt,
    revision: 0,
    status: MemberStatus.Alive,
    endpoints: [],
    applied: 0,
  };
  return {
    self,
    seeds,
    knownPeers: new Set(),
    incarnation: startedAt,
    revision: 0,
    applied: 0,
    floor: undefined,
    receivedFloor: 0,
    floorReceivedAtTick: undefined,
    queuedFloorRequests: new Map(),
    activeFloorRequests: undefined,
    isLeaving: false,
    ticks: 0,
    hasJoined: false,
    joinsLeft: MAX_JOINS_PER_TICK,
    syncedAtTick: 0,
    pendingRows: [],
    members: new Map([[self.id, { row, receivedAt: now }]]),
    departed: new Map(),
    suspects: new Map(),
    unansweredPings: new Map(),
    sums: createSums([row]),
    overlay: undefined,
    own: new Map(),
    homes: new Map(),
    remotes: new Map(),
    homeByEndpoint: new Map(),
    summaries: new Map(),
    unrelayedSummaries: new Map(),
    summaryRevision: 0,
    published: {
      status: "",
      services: "",
      gatewayList: "",
      summary: undefined,
    },
    reports: new Map(),
    presenceAt: now,
  };
}
