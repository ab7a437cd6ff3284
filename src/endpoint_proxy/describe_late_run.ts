/**
 * Splits the time of a call that was answered past its latency objective into
 * its wait in the queue and its run.
 * @module
 */
import type { OfferedCall } from "../calls/state.ts";
import type { MonotonicMs } from "../core/types.ts";

/**
 * A call that was answered past its latency objective. Times are in
 * milliseconds.
 */
export interface LateRun {
  readonly callId: string;
  readonly route: string;
  /** Time from the arrival at the home node to the start of the run. */
  readonly waitedMs: number;
  readonly ranMs: number;
  /** Time left to the latency objective when the call arrived. */
  readonly aimLeftMs: number;
  /** Pace of the VM at the end, in percent, if it is not the usual one. */
  readonly pacePercent?: number;
}

/** Options of `describeLateRun`. */
export interface DescribeLateRunOptions {
  readonly call: Pick<OfferedCall, "id" | "route" | "objectiveLeftMs">;
  readonly arrivedAt: MonotonicMs;
  readonly startedAt: MonotonicMs;
  readonly pacePercent?: number | undefined;
  readonly now: MonotonicMs;
}

/** Returns undefined for a call that is answered within its objective. */
export function describeLateRun(
  opts: DescribeLateRunOptions,
): LateRun | undefined {
  const { call, arrivedAt, startedAt, pacePercent, now } = opts;
  if (now - arrivedAt <= call.objectiveLeftMs) return undefined;
  return {
    callId: call.id,
    route: call.route,
    waitedMs: Math.round(startedAt - arrivedAt),
    ranMs: Math.round(now - startedAt),
    aimLeftMs: Math.round(call.objectiveLeftMs),
    ...(pacePercent === undefined ? {} : { pacePercent }),
  };
}
