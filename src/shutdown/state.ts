/**
 * State of a node that is shutting down after SIGTERM.
 * @module
 */
import type { MonotonicMs } from "../core/types.ts";

/** Points in time of a shutdown. */
export interface ShutdownTimes {
  /**
   * Time until which every call is accepted, since callers can't know yet that
   * they should use another node.
   */
  readonly acceptAllUntil: MonotonicMs;
  /** When other nodes are notified to send the endpoint no more calls. */
  readonly withdrawAt: MonotonicMs;
  /** Time from which the node ends as soon as no call is open. */
  readonly mayEndAt: MonotonicMs;
  /**
   * Time by which the answers of other nodes have to be on their way, so that
   * this node can forward them.
   */
  readonly answerBy: MonotonicMs;
  /** Time by which every accepted call should be answered. */
  readonly endAt: MonotonicMs;
}

export const ShutdownPhase = {
  /** The endpoint still accepts calls from other nodes. */
  Serving: "serving",
  /** Other nodes have been notified that the endpoint is leaving. */
  Withdrawn: "withdrawn",
  /** Every call is refused while the last answers are sent. */
  Finishing: "finishing",
  /** The node can end. */
  Over: "over",
} as const;
export type ShutdownPhase = typeof ShutdownPhase[keyof typeof ShutdownPhase];

export interface ShutdownState {
  readonly times: ShutdownTimes;
  phase: ShutdownPhase;
  /** Since when no call has been open, in the phase `Finishing`. */
  idleSince: MonotonicMs | undefined;
}

/** Regular check of the node during the shutdown. */
export interface ShutdownEvent {
  readonly type: "ticked";
  /** Whether a request is open, a call runs or an answer is being sent. */
  readonly isBusy: boolean;
  readonly now: MonotonicMs;
}

export type ShutdownEffect =
  /** Notify other nodes that the endpoint is leaving. */
  | { readonly type: "withdraw" }
  /** Refuse every call that can still be refused. */
  | { readonly type: "refuse-remaining" };
