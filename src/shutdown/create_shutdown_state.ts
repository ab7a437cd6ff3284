/**
 * Schedules the phases of a shutdown.
 * @module
 */
import type { MonotonicMs } from "../core/types.ts";
import { ShutdownPhase, type ShutdownState } from "./state.ts";

/**
 * Time after SIGTERM in which the endpoint still accepts calls from other
 * nodes, in milliseconds. It is shorter than `DRAIN_MS`, so that these calls
 * end before this node's own clients have left.
 */
const SERVING_MS = 1_700;

/**
 * Time after SIGTERM in which clients still send requests to this node, in
 * milliseconds: clients stop after two failed readiness checks, and checks are
 * a second apart.
 */
const DRAIN_MS = 2_200;

/** Time before SIGKILL that is left unused, in milliseconds. */
const SPARE_GRACE_MS = 700;

/**
 * Fraction of a short shutdown during which every call is accepted. One half
 * leaves a call that is accepted at the end of this time as much time again to
 * be answered.
 */
const ACCEPT_ALL_SHARE = 0.5;

/**
 * Fraction of the time from SIGTERM to the end that is left for answers and
 * refusals of other nodes to arrive and be forwarded.
 */
const FORWARD_SHARE = 0.05;

/** Options of `createShutdownState`. */
export interface CreateShutdownStateOptions {
  /** Time between SIGTERM and SIGKILL, in milliseconds. */
  readonly graceMs: number;
  /**
   * Longest possible delay between the arrival of SIGTERM and its handling
   * (event loop lag), in milliseconds.
   */
  readonly lagMs: number;
  readonly now: MonotonicMs;
}

/** Begins the shutdown. Called when SIGTERM is handled. */
export function createShutdownState(
  opts: CreateShutdownStateOptions,
): ShutdownState {
  const signalledAt = opts.now - opts.lagMs;
  const endAt = Math.max(opts.now, signalledAt + opts.graceMs - SPARE_GRACE_MS);
  const acceptAllMs = Math.min(
    DRAIN_MS,
    (endAt - signalledAt) * ACCEPT_ALL_SHARE,
  );
  return {
    times: {
      acceptAllUntil: signalledAt + acceptAllMs,
      withdrawAt: Math.min(signalledAt + SERVING_MS, endAt),
      mayEndAt: Math.min(signalledAt + DRAIN_MS, endAt),
      answerBy: endAt - (endAt - signalledAt) * FORWARD_SHARE,
      endAt,
    },
    phase: ShutdownPhase.Serving,
    idleSince: undefined,
  };
}
