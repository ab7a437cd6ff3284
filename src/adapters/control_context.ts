/**
 * State and functions that all drivers of one node share.
 * @module
 */
import type { ControlLoop } from "../control/create_control_loop.ts";
import type { MonotonicMs, NodeId, NodeInfo } from "../core/types.ts";
import type { Recorder } from "../trace/create_recorder.ts";
import type { Metrics } from "./metrics.ts";
import type { PeerMessage } from "./peer_message.ts";

export interface ControlContext {
  readonly self: NodeInfo;
  readonly loop: ControlLoop;
  readonly now: () => MonotonicMs;
  readonly metrics: Metrics;
  readonly recorder: Recorder;
  /** Sends to a peer or drops the message. Never blocks. */
  readonly send: (to: NodeId, message: PeerMessage) => void;
}
