/**
 * The versions in force, as a node reports them to operators.
 * @module
 */
import type { NodeId, Offset } from "../core/types.ts";
import { MemberStatus } from "../membership/messages.ts";
import type { Control } from "./create_control.ts";

/** A failure domain as seen by the node that answers. */
export interface DomainStatus {
  readonly domain: string;
  readonly nodes: number;
  /** Lowest version in force on a node of the domain. */
  readonly applied: Offset;
  /** Milliseconds since the last summary of the domain was received. */
  readonly silentMs: number;
}

export interface NodeStatus {
  readonly node: NodeId;
  /** Newest version folded. */
  readonly version: Offset;
  /** Version in force on this node. */
  readonly applied: Offset;
  readonly next: Offset;
  readonly digest: string;
  /** Keys `plan/service` that currently have no upstream. */
  readonly inactive: readonly string[];
  readonly domains: readonly DomainStatus[];
  /** Nodes of this domain with an older version in force. */
  readonly laggards: readonly {
    readonly node: NodeId;
    readonly applied: Offset;
  }[];
}

/** Options of `statusOf`. */
export interface StatusOfOptions {
  readonly control: Control;
  readonly domain: string;
  readonly nodeId: string;
}

/** Maximum number of laggards in an answer. */
const MAX_LISTED_LAGGARDS = 100;

/** Creates the status of a node from its state. */
export function statusOf(opts: StatusOfOptions): NodeStatus {
  const { control, domain } = opts;
  const { membership } = control;
  const { version, next, digest } = control.config();
  const serving = control.serving();
  const rows = [...membership.members.values()].map((known) => known.row)
    .filter((row) => row.status === MemberStatus.Alive);
  const own: DomainStatus = {
    domain,
    nodes: rows.length,
    applied: Math.min(...rows.map((row) => row.applied)),
    silentMs: 0,
  };
  const now = performance.now();
  const others = [...membership.summaries.values()].map((known) => ({
    domain: known.summary.domain,
    nodes: known.summary.nodes,
    applied: known.summary.applied,
    silentMs: Math.max(0, Math.round(now - known.receivedAt)),
  }));
  return {
    node: opts.nodeId,
    version,
    applied: serving?.version ?? 0,
    next,
    digest,
    inactive: [...serving?.inactive ?? []],
    domains: [own, ...others],
    laggards: rows.filter((row) => row.applied < version)
      .slice(0, MAX_LISTED_LAGGARDS)
      .map((row) => ({ node: row.info.id, applied: row.applied })),
  };
}
