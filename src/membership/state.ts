/**
 * The members of this node's failure domain, and summaries of the others.
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

/** An endpoint whose home this node is. */
export interface OwnEndpoint {
  readonly announcement: Announcement;
  readonly receivedAt: MonotonicMs;
  readonly readySince: MonotonicMs;
}

/** Another domain's summary, with the time it was last confirmed. */
export interface KnownSummary {
  readonly summary: DomainSummary;
  readonly receivedAt: MonotonicMs;
}

/** The ring of live members and the readers, rebuilt after a change. */
export interface Overlay {
  readonly ring: Ring;
  readonly readers: readonly NodeId[];
}

export interface MembershipState {
  readonly self: NodeInfo;
  /** Addresses from the settings. */
  readonly seeds: readonly NodeId[];
  /** Peers met and addresses from presence records, the newest last. */
  met: Set<NodeId>;
  incarnation: number;
  revision: number;
  applied: Offset;
  /** Lowest version that this node may serve, once it is known. */
  floor: Offset | undefined;
  /** Version that peers know of an earlier process at this address. */
  heardFloor: Offset;
  /** Tick at which a member first told a floor without reading the log. */
  floorHeardAt: number | undefined;
  /** Nodes that ask for a floor and wait for the log's head to be read. */
  floorAsked: Map<NodeId, string>;
  /** Those that asked before the reading of the head that is under way. */
  floorAsking: Map<NodeId, string> | undefined;
  isLeaving: boolean;
  ticks: number;
  /** True once a member of the own domain told its view. */
  hasJoined: boolean;
  /** Views that may still be told to newcomers in this tick. */
  welcomesLeft: number;
  /** Tick in which differing sums were last answered. */
  syncedAt: number;
  /** Rows to broadcast together at the next tick. */
  news: MemberRow[];
  /** Live members, own row included. */
  members: Map<NodeId, KnownMember>;
  /** Members that died or left, oldest first, for their versions. */
  departed: Map<NodeId, KnownMember>;
  /** Time at which each suspicion began. */
  suspects: Map<NodeId, MonotonicMs>;
  /** Pings without an answer, for each successor that is pinged. */
  missed: Map<NodeId, number>;
  sums: number[];
  overlay: Overlay | undefined;
  own: Map<EndpointId, OwnEndpoint>;
  /** Homes by `service@version`. */
  homes: Map<string, HomeCapacity[]>;
  /** Other domains by `service@version`. */
  remotes: Map<string, RemoteCapacity[]>;
  /** The home that announced each endpoint last. */
  homeByEndpoint: Map<EndpointId, NodeId>;
  summaries: Map<string, KnownSummary>;
  /** Summaries from abroad that nobody has broadcast here yet. */
  unrelayed: Map<string, MonotonicMs>;
  /** Greatest revision heard of a summary of the own domain. */
  summaryRevision: number;
  /** Content of the last summary spoken, to speak only of changes. */
  spoken: {
    readonly status: string;
    readonly services: string;
    readonly reach: string;
    readonly summary: DomainSummary | undefined;
  };
  /** Versions in force to pass on to the readers. */
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
    /** Nodes of this domain that the log's presence record names. */
    readonly presence: readonly NodeId[];
  }
  | {
    readonly type: "received";
    readonly from: NodeId;
    readonly message: MembershipMessage;
    readonly now: MonotonicMs;
  }
  | {
    readonly type: "announced";
    readonly announcement: Announcement;
    readonly now: MonotonicMs;
  }
  | {
    readonly type: "applied";
    readonly version: Offset;
    readonly now: MonotonicMs;
  }
  /** The state holds every record that the log had at the start. */
  | { readonly type: "caught-up"; readonly now: MonotonicMs }
  /** The state holds all of the log up to the head that `read-head` found. */
  | { readonly type: "head-reached"; readonly version: Offset }
  /** The log did not tell its head. */
  | { readonly type: "head-unknown" }
  | { readonly type: "seeded"; readonly seeds: readonly NodeId[] }
  | { readonly type: "leaving"; readonly now: MonotonicMs };

export type MembershipEffect =
  | {
    readonly type: "send";
    readonly to: NodeId;
    readonly message: MembershipMessage;
  }
  /** Upstreams came or went: routes may have to change. */
  | { readonly type: "upstreams-changed" }
  /** The node knows what it must not serve below. */
  | { readonly type: "floor-known"; readonly floor: Offset }
  /** Read the log's head, and say when the state has reached it. */
  | { readonly type: "read-head" }
  /** Record a sample of the domain's live nodes in the log. */
  | { readonly type: "record-presence"; readonly nodes: readonly NodeId[] }
  | {
    readonly type: "member-changed";
    readonly node: NodeId;
    readonly status: MemberStatus;
  }
  | {
    readonly type: "refuse-peer";
    readonly peer: NodeId;
    readonly reason: string;
  };

/** Newcomers that a node tells its whole view in one tick at most. */
export const MAX_JOINS_PER_TICK = 8;

/** Options of `createMembershipState`. */
export interface CreateMembershipStateOptions {
  readonly self: NodeInfo;
  readonly seeds: readonly NodeId[];
  /** Wall clock at the start, which orders restarts of a node. */
  readonly startedAt: number;
  readonly now: MonotonicMs;
}

/** Creates the state of a node that knows only its seeds. */
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
    met: new Set(),
    incarnation: startedAt,
    revision: 0,
    applied: 0,
    floor: undefined,
    heardFloor: 0,
    floorHeardAt: undefined,
    floorAsked: new Map(),
    floorAsking: undefined,
    isLeaving: false,
    ticks: 0,
    hasJoined: false,
    welcomesLeft: MAX_JOINS_PER_TICK,
    syncedAt: 0,
    news: [],
    members: new Map([[self.id, { row, receivedAt: now }]]),
    departed: new Map(),
    suspects: new Map(),
    missed: new Map(),
    sums: createSums([row]),
    overlay: undefined,
    own: new Map(),
    homes: new Map(),
    remotes: new Map(),
    homeByEndpoint: new Map(),
    summaries: new Map(),
    unrelayed: new Map(),
    summaryRevision: 0,
    spoken: { status: "", services: "", reach: "", summary: undefined },
    reports: new Map(),
    presenceAt: now,
  };
}
