/**
 * Decides whether a stopping node takes a call.
 * @module
 */
import type { MonotonicMs } from "../core/types.ts";
import { ShutdownPhase, type ShutdownState } from "./state.ts";

/** Options of `canFinish`. */
export interface CanFinishOptions {
  /** Longest time that the call may still take, in milliseconds. */
  readonly waitMs: number;
  /** Time by which the node's timers are late, in milliseconds. */
  readonly lagMs: number;
  readonly now: MonotonicMs;
}

/**
 * Whether a call that is taken now is sure to be answered before the node ends.
 * At first every call is taken: its caller has no other node yet, and there is
 * far more time than calls usually need.
 */
export function canFinish(
  stop: ShutdownState,
  opts: CanFinishOptions,
): boolean {
  const { phase, times } = stop;
  switch (phase) {
    case ShutdownPhase.Serving:
    case ShutdownPhase.Withdrawn:
      return opts.now <= times.takeAllUntil ||
        opts.now + opts.waitMs + opts.lagMs <= times.endAt;
    case ShutdownPhase.Finishing:
    case ShutdownPhase.Over:
      return false;
  }
}
