/**
 * A node that was told to stop.
 * @module
 */
import type { MonotonicMs } from "../core/types.ts";

/** Moments of a stop. */
export interface ShutdownTimes {
  /** Until then callers can't know that they should go elsewhere. */
  readonly takeAllUntil: MonotonicMs;
  /** The endpoint is withdrawn from other nodes. */
  readonly withdrawAt: MonotonicMs;
  /** From then on the node ends as soon as nothing is open. */
  readonly calmAt: MonotonicMs;
  /** All that was taken is answered by then. */
  readonly endAt: MonotonicMs;
}

export const ShutdownPhase = {
  /** The endpoint still takes calls of other nodes. */
  Serving: "serving",
  /** Other nodes were told that the endpoint is gone. */
  Withdrawn: "withdrawn",
  /** Everything is refused while the last answers leave. */
  Finishing: "finishing",
  Over: "over",
} as const;
export type ShutdownPhase = typeof ShutdownPhase[keyof typeof ShutdownPhase];

export interface ShutdownState {
  readonly times: ShutdownTimes;
  phase: ShutdownPhase;
  /** Since when nothing has been open, in the last phase. */
  idleSince: MonotonicMs | undefined;
}

/** A look at the node while it stops. */
export interface ShutdownEvent {
  readonly type: "ticked";
  /** Whether a request, a run or an answer on its way is open. */
  readonly isBusy: boolean;
  readonly now: MonotonicMs;
}

export type ShutdownEffect =
  /** Tell other nodes that the endpoint is gone. */
  | { readonly type: "withdraw" }
  /** Turn away what can still be turned away. */
  | { readonly type: "refuse-rest" };
