/**
 * Messages between two nodes over one link.
 * @module
 */
import type { AllowanceMessage } from "../allowance/messages.ts";
import type { AttemptEvent, OfferedCall } from "../calls/state.ts";
import type { Offset } from "../core/types.ts";
import type { DomainDigest, LostNotice, NodeRow } from "../fleet/messages.ts";
import type { StoppedInstance } from "../local_endpoint/state.ts";
import type { QuarantineMessage } from "../quarantine/messages.ts";
import type { QueueReport } from "../queue/state.ts";
import type { ReaderBeat } from "../reader_election/apply_beat.ts";
import type { ReaderStatus } from "../reader_election/state.ts";
import type { KeyedRecord } from "../store/state.ts";
import type {
  ShiftFault,
  ShiftReport,
  ShiftStep,
} from "../traffic_shift/state.ts";

/**
 * Version of the messages. Nodes with different versions refuse each other's
 * links, since they would misread each other's messages.
 */
export const PROTOCOL_VERSION = 5;

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
  | { readonly type: "cancel"; readonly key: LinkKey }
  /** See `Attempt.limitAnswer`. */
  | {
    readonly type: "limit-answer";
    readonly key: LinkKey;
    /** Time left when the message is sent, in milliseconds. */
    readonly leftMs: number;
  };

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
  /**
   * First message on a link, with the sender's gossip row. It is sent again when
   * `isNeighbor` changes, or to request the receiver's row.
   */
  | {
    readonly type: "hello";
    readonly protocol: number;
    readonly row: NodeRow;
    /** Whether the nodes exchange the state of the fleet over this link. */
    readonly isNeighbor: boolean;
  }
  | ({ readonly type: "ping" } & NodeStatus)
  | ({ readonly type: "pong" } & NodeStatus)
  | { readonly type: "rows"; readonly rows: readonly NodeRow[] }
  | { readonly type: "lost"; readonly notice: LostNotice }
  | {
    readonly type: "digest";
    readonly domains: readonly DomainDigest[];
    /** Whether it answers the receiver's digest. */
    readonly isAnswer: boolean;
  }
  | { readonly type: "beats"; readonly beats: readonly ReaderBeat[] }
  /**
   * Answer to a hello: the stopped endpoint processes that earlier processes of
   * the hello's sender had announced.
   */
  | {
    readonly type: "recall";
    readonly gone: readonly StoppedInstance[];
    /** Whether the earlier processes had announced no others. */
    readonly isComplete: boolean;
  }
  | {
    readonly type: "ask-rows";
    /** Failure domains whose rows are requested. Undefined requests all. */
    readonly domains: readonly string[] | undefined;
  }
  | {
    readonly type: "ask-operator";
    /** Offset after which records are requested. If negative, all keys. */
    readonly from: Offset;
  }
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
  | { readonly type: "move-fault"; readonly fault: ShiftFault }
  /** Crashes of requests that the receiver may not know. */
  | Extract<QuarantineMessage, { type: "quarantine/rows" }>
  /** Leases and tokens of the limits on client accounts. */
  | AllowanceMessage;

export type LinkMessage = CallMessage | EventMessage | Gossip;
