/**
 * Decides whether a node that is shutting down accepts a call.
 * @module
 */
import type { MonotonicMs } from "../core/types.ts";
import { ShutdownPhase, type ShutdownState } from "./state.ts";

/** Options of `canFinish`. */
export interface CanFinishOptions {
  /** Longest time until the call is answered, in milliseconds. */
  readonly waitMs: number;
  /**
   * Delay of the node's event loop, by which timers fire late, in milliseconds.
   */
  readonly lagMs: number;
  readonly now: MonotonicMs;
}

/**
 * Returns whether a call that arrives now is accepted. Until `acceptAllUntil`
 * every call is accepted: callers do not know yet that they should use another
 * node, and calls usually need much less time than is left. Later, a call is
 * accepted only if it is certain to be answered before the node ends.
 */
export function canFinish(
  state: ShutdownState,
  opts: CanFinishOptions,
): boolean {
  const { phase, times } = state;
  switch (phase) {
    case ShutdownPhase.Serving:
    case ShutdownPhase.Withdrawn:
      return opts.now <= times.acceptAllUntil ||
        opts.now + opts.waitMs + opts.lagMs <= times.endAt;
    case ShutdownPhase.Finishing:
    case ShutdownPhase.Over:
      return false;
  }
}
