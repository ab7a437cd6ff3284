/**
 * The members of this node's failure domain, and summaries of the others.
 * @module
 */
import type {
  Announcement,
  EndpointId,
  MonotonicMs,
  NodeId,
  NodeInfo,
  Offset,
} from "../core/types.ts";
import {
  type DomainSummary,
  type KnownMember,
  type MemberRow,
  type MembershipMessage,
  MemberStatus,
} from "./messages.ts";

/** An endpoint whose home this node is. */
export interface OwnEndpoint {
  readonly announcement: Announcement;
  readonly heardAt: MonotonicMs;
  readonly readySince: MonotonicMs;
}

export interface MembershipState {
  readonly self: NodeInfo;
  /** Addresses from the settings and from presence records. */
  seeds: readonly NodeId[];
  incarnation: number;
  revision: number;
  applied: Offset;
  isLeaving: boolean;
  /** Own row included. */
  members: Map<NodeId, KnownMember>;
  own: Map<EndpointId, OwnEndpoint>;
  summaries: Map<string, { summary: DomainSummary; heardAt: MonotonicMs }>;
  summaryRevision: number;
  /** First sight of each `home service version`. */
  readySince: Map<string, MonotonicMs>;
}

export type MembershipEvent =
  | { readonly type: "ticked"; readonly now: MonotonicMs }
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
  | {
    readonly type: "refuse-peer";
    readonly peer: NodeId;
    readonly reason: string;
  };

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
    incarnation: startedAt,
    revision: 0,
    applied: 0,
    isLeaving: false,
    members: new Map([[self.id, { row, heardAt: now }]]),
    own: new Map(),
    summaries: new Map(),
    summaryRevision: 0,
    readySince: new Map(),
  };
}
