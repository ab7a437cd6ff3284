/**
 * Plans a stop.
 * @module
 */
import type { MonotonicMs } from "../core/types.ts";
import { ShutdownPhase, type ShutdownState } from "./state.ts";

/**
 * Time after SIGTERM in which the endpoint still takes calls from other nodes,
 * in milliseconds. Their calls end before callers have left.
 */
const servingMs = 1_700;

/**
 * Time after SIGTERM in which callers still come: two readiness checks have to
 * fail before clients stop, and checks are a second apart.
 */
const drainMs = 2_200;

/** Part of the grace that is left unused, in milliseconds. */
const spareGraceMs = 700;

/**
 * Part of a short stop in which everything is taken. What is taken in it has at
 * least as long to be answered.
 */
const takeAllShare = 0.5;

/** Options of `createShutdownState`. */
export interface CreateShutdownStateOptions {
  /** Time between SIGTERM and SIGKILL, in milliseconds. */
  readonly graceMs: number;
  /** Time by which the signal may have waited unread, in milliseconds. */
  readonly lagMs: number;
  readonly now: MonotonicMs;
}

/** Begins a stop whose signal was just read. */
export function createShutdownState(
  opts: CreateShutdownStateOptions,
): ShutdownState {
  const toldAt = opts.now - opts.lagMs;
  const endAt = Math.max(opts.now, toldAt + opts.graceMs - spareGraceMs);
  const takeAllMs = Math.min(drainMs, (endAt - toldAt) * takeAllShare);
  return {
    times: {
      takeAllUntil: toldAt + takeAllMs,
      withdrawAt: Math.min(toldAt + servingMs, endAt),
      calmAt: Math.min(toldAt + drainMs, endAt),
      endAt,
    },
    phase: ShutdownPhase.Serving,
    idleSince: undefined,
  };
}
