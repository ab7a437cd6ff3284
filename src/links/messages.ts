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

/** Names a call on one link. */
export type LinkKey = number;

/** From the node that offers a call to its home. */
export type CallMessage =
  | {
    readonly type: "offer";
    readonly key: LinkKey;
    readonly call: OfferedCall;
  }
  | { readonly type: "body"; readonly key: LinkKey; readonly chunk: Buffer }
  | { readonly type: "body-end"; readonly key: LinkKey }
  | { readonly type: "cancel"; readonly key: LinkKey };

/** From a home, about a call that it was offered. */
export interface EventMessage {
  readonly type: "event";
  readonly key: LinkKey;
  readonly event: AttemptEvent;
  /** The home's queue at the time of the event. */
  readonly report: QueueReport;
  /** Time since the home read the offer, in milliseconds. */
  readonly heldMs: number;
  /** How far behind the home's node is, in milliseconds. */
  readonly lagMs: number;
}

/** How a node is, as pings and their answers carry it. */
export interface NodeStatus {
  readonly report: QueueReport;
  /** How far the operators' topic was read. */
  readonly operatorEnd: Offset;
  readonly readerStatus: ReaderStatus;
  /** How far behind it is, in milliseconds. */
  readonly lagMs: number;
}

/** What nodes tell each other besides calls. */
export type Gossip =
  /** Opens a link. */
  | { readonly type: "hello"; readonly row: NodeRow }
  | ({ readonly type: "ping" } & NodeStatus)
  | ({ readonly type: "pong" } & NodeStatus)
  | { readonly type: "rows"; readonly rows: readonly NodeRow[] }
  /** What the process before the sender of a hello said of its endpoint. */
  | { readonly type: "recall"; readonly gone: readonly StoppedInstance[] }
  | { readonly type: "ask-rows" }
  | { readonly type: "ask-operator" }
  | {
    readonly type: "operator";
    /** Whoever has read so far lacks nothing. Negative: all keys are there. */
    readonly from: Offset;
    /** The newest of each key. */
    readonly records: readonly KeyedRecord[];
    readonly end: Offset;
  }
  | { readonly type: "move-step"; readonly step: ShiftStep }
  | { readonly type: "move-report"; readonly report: ShiftReport }
  | { readonly type: "move-fault"; readonly fault: ShiftFault };

export type LinkMessage = CallMessage | EventMessage | Gossip;
