/**
 * Where this node stands in the log, and the tail that it can pass on.
 * @module
 */
import type { EncodedSnapshot } from "../config_log/encode_snapshot.ts";
import type { LogRecord } from "../config_log/messages.ts";
import type { NodeId, Offset } from "../core/types.ts";
import type { DistributionMessage } from "./messages.ts";

export interface DistributionState {
  readonly self: NodeId;
  /** Next offset to fold, as the fold reports it. */
  next: Offset;
  digest: string;
  isReader: boolean;
  /** Newest records folded, oldest first. */
  tail: LogRecord[];
  /** Characters held in `tail`. */
  tailLength: number;
}

export type DistributionEvent =
  | {
    readonly type: "ticked";
    /** Live members of the own domain, this node included. */
    readonly members: readonly NodeId[];
    readonly domain: string;
    /** Nodes of other domains that may know more. */
    readonly gateways: readonly NodeId[];
    /** Random number from 0 to 1. */
    readonly random: number;
  }
  /** Records read from the log by this node. */
  | { readonly type: "read"; readonly records: readonly LogRecord[] }
  | {
    readonly type: "received";
    readonly from: NodeId;
    readonly message: DistributionMessage;
    readonly members: readonly NodeId[];
  }
  /** The fold took records, or a whole snapshot. */
  | {
    readonly type: "folded";
    readonly next: Offset;
    readonly digest: string;
    readonly records: readonly LogRecord[];
    readonly members: readonly NodeId[];
  };

export type DistributionEffect =
  | {
    readonly type: "send";
    readonly to: NodeId;
    readonly message: DistributionMessage;
  }
  /** Start or stop following the log. */
  | { readonly type: "follow"; readonly isReader: boolean }
  | { readonly type: "fold"; readonly records: readonly LogRecord[] }
  | {
    readonly type: "load-snapshot";
    readonly from: NodeId;
    readonly snapshot: EncodedSnapshot;
  }
  | { readonly type: "send-snapshot"; readonly to: NodeId };

/** Creates the state of a node that has folded nothing. */
export function createDistributionState(
  self: NodeId,
  next: Offset,
): DistributionState {
  return {
    self,
    next,
    digest: "",
    isReader: false,
    tail: [],
    tailLength: 0,
  };
}
