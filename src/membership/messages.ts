/**
 * What nodes tell each other of themselves and of their upstreams.
 * @module
 */
import type {
  Announcement,
  MonotonicMs,
  NodeId,
  NodeInfo,
  Offset,
} from "../core/types.ts";

export const MemberStatus = {
  Alive: "alive",
  Left: "left",
} as const;
export type MemberStatus = typeof MemberStatus[keyof typeof MemberStatus];

/** A node's row. Its owner alone raises `(incarnation, revision)`. */
export interface MemberRow {
  readonly info: NodeInfo;
  readonly incarnation: number;
  readonly revision: number;
  readonly status: MemberStatus;
  readonly endpoints: readonly Announcement[];
  /** Version in force on the node. */
  readonly applied: Offset;
}

/** What one failure domain tells the others, never endpoint by endpoint. */
export interface DomainSummary {
  readonly domain: string;
  readonly region: string;
  /** Order of summaries of one domain. */
  readonly revision: number;
  readonly nodes: number;
  /** Lowest version in force on a live node of the domain. */
  readonly applied: Offset;
  readonly gateways: readonly NodeId[];
  readonly services: readonly ServiceSummary[];
}

export interface ServiceSummary {
  readonly service: string;
  readonly version: string;
  readonly slots: number;
}

export type MembershipMessage =
  | { readonly type: "membership/rows"; readonly rows: readonly MemberRow[] }
  | { readonly type: "membership/summary"; readonly summary: DomainSummary };

/** A row as this node knows it, with the time it last grew. */
export interface KnownMember {
  readonly row: MemberRow;
  readonly heardAt: MonotonicMs;
}
