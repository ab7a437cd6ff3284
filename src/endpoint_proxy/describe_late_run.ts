/**
 * Tells where the time of a late call went.
 * @module
 */
import type { OfferedCall } from "../calls/state.ts";
import type { MonotonicMs } from "../core/types.ts";

/** A call that was answered past its aim. Times are in milliseconds. */
export interface LateRun {
  readonly callId: string;
  readonly route: string;
  /** Time from the offer to the start of the run. */
  readonly waitedMs: number;
  readonly ranMs: number;
  /** Time to the end of the aim when the call was offered. */
  readonly aimLeftMs: number;
}

/** Options of `describeLateRun`. */
export interface DescribeLateRunOptions {
  readonly call: Pick<OfferedCall, "id" | "route" | "objectiveLeftMs">;
  readonly offeredAt: MonotonicMs;
  readonly startedAt: MonotonicMs;
  readonly now: MonotonicMs;
}

/** Returns undefined for a call that is answered within its aim. */
export function describeLateRun(
  opts: DescribeLateRunOptions,
): LateRun | undefined {
  const { call, offeredAt, startedAt, now } = opts;
  if (now - offeredAt <= call.objectiveLeftMs) return undefined;
  return {
    callId: call.id,
    route: call.route,
    waitedMs: Math.round(startedAt - offeredAt),
    ranMs: Math.round(now - startedAt),
    aimLeftMs: Math.round(call.objectiveLeftMs),
  };
}
