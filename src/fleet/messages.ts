/**
 * What nodes tell each other of the fleet.
 * @module
 */
import type { NodeId, WallMs } from "../core/types.ts";
import type { StoppedInstance } from "../local_endpoint/state.ts";

/** An endpoint that accepts calls, as its node describes it. */
export interface RowEndpoint {
  readonly id: string;
  readonly service: string;
  readonly version: string;
  readonly slots: number;
  /**
   * Remaining time of its cold start when the row was sent, in milliseconds.
   */
  readonly coldMs: number;
}

/** Description that a node sends of itself. Only that node changes it. */
export interface NodeRow {
  readonly node: NodeId;
  readonly domain: string;
  /** Id of the process lifetime. New at each start of the process. */
  readonly life: string;
  /**
   * Orders the processes at one address: when the process started by its own
   * clock, or later than that if it met the row of an earlier process with a
   * later time.
   */
  readonly startedAt: WallMs;
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

/**
 * Report that a node can't be reached. The node refutes it by sending its row
 * with a higher revision.
 */
export interface LostNotice {
  readonly node: NodeId;
  readonly life: string;
  /** Revision of the row that the reporting node knows. */
  readonly revision: number;
}

/** Sums up the rows of a failure domain, to find out whether two nodes agree. */
export interface DomainDigest {
  readonly domain: string;
  readonly count: number;
  readonly hash: number;
}
