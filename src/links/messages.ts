/**
 * Messages between two nodes over one link.
 * @module
 */
import type { AttemptEvent, OfferedCall } from "../calls/state.ts";
import type { Offset } from "../core/types.ts";
import type { NodeRow } from "../fleet/state.ts";
import type { StoppedInstance } from "../local_endpoint/state.ts";
import type { QueueReport } from "../queue/state.ts";
import type { ReaderStatus } from "../reader_election/state.ts";
import type { KeyedRecord } from "../store/state.ts";
import type {
  ShiftFault,
  ShiftReport,
  ShiftStep,
} from "../traffic_shift/state.ts";

/** Identifies a call on one link. */
export type LinkKey = number;

/** Messages to a home node about a call that is sent to it. */
export type CallMessage =
  | {
    readonly type: "offer";
    readonly key: LinkKey;
    readonly call: OfferedCall;
  }
  | { readonly type: "body"; readonly key: LinkKey; readonly chunk: Buffer }
  | { readonly type: "body-end"; readonly key: LinkKey }
  | { readonly type: "cancel"; readonly key: LinkKey };

/** Message from a home node about a call that it received. */
export interface EventMessage {
  readonly type: "event";
  readonly key: LinkKey;
  readonly event: AttemptEvent;
  /** State of the home node's queue at the time of the event. */
  readonly report: QueueReport;
  /** Time since the home node read the call, in milliseconds. */
  readonly heldMs: number;
  /** Delay of the home node's event loop, in milliseconds. */
  readonly lagMs: number;
}

/** State of a node, sent with pings and their answers. */
export interface NodeStatus {
  readonly report: QueueReport;
  /** Offset up to which the node has read the operators' topic. */
  readonly operatorEnd: Offset;
  readonly readerStatus: ReaderStatus;
  /** Delay of the node's event loop, in milliseconds. */
  readonly lagMs: number;
}

/** Messages between nodes that are not about calls. */
export type Gossip =
  /** First message on a link, with the sender's gossip row. */
  | { readonly type: "hello"; readonly row: NodeRow }
  | ({ readonly type: "ping" } & NodeStatus)
  | ({ readonly type: "pong" } & NodeStatus)
  | { readonly type: "rows"; readonly rows: readonly NodeRow[] }
  /**
   * Answer to a hello: the stopped endpoint processes that an earlier process
   * of the hello's sender had announced.
   */
  | { readonly type: "recall"; readonly gone: readonly StoppedInstance[] }
  | { readonly type: "ask-rows" }
  | { readonly type: "ask-operator" }
  | {
    readonly type: "operator";
    /**
     * Offset from which the records are complete: a node that has read the
     * topic up to this offset misses no record. If negative, the records hold
     * all keys.
     */
    readonly from: Offset;
    /** Newest record of each key. */
    readonly records: readonly KeyedRecord[];
    readonly end: Offset;
  }
  | { readonly type: "move-step"; readonly step: ShiftStep }
  | { readonly type: "move-report"; readonly report: ShiftReport }
  | { readonly type: "move-fault"; readonly fault: ShiftFault };

export type LinkMessage = CallMessage | EventMessage | Gossip;
