/**
 * Counts runs as evidence for or against a new version.
 * @module
 */
import { bucketOf, countsOf } from "../rollout/count_call.ts";
import { Side } from "../rollout/messages.ts";
import { ShiftPhase, type TrafficShiftState } from "./state.ts";

/** One run of a request at the endpoint on this VM. */
export interface Run {
  readonly service: string;
  readonly version: string;
  readonly route: string;
  readonly isFailed: boolean;
  /** Whether a nested call of the run failed. */
  readonly hasNestedFailure: boolean;
  readonly tookMs: number;
}

/** Counts a run, unless the traffic shift of its service was rolled back. */
export function countRun(state: TrafficShiftState, run: Run) {
  const shift = state.shifts.get(run.service);
  if (shift === undefined || shift.step.phase === ShiftPhase.RolledBack) return;
  // The called service may be the cause, so the run is no evidence against this
  // version.
  if (run.isFailed && run.hasNestedFailure) return;
  const side = run.version === shift.order.target ? Side.New : Side.Old;
  const counts = countsOf(shift.local, side, run.route);
  counts.calls++;
  if (run.isFailed) counts.failures++;
  const bucket = bucketOf(run.tookMs);
  counts.buckets[bucket] = (counts.buckets[bucket] ?? 0) + 1;
}
