/**
 * Counts runs as evidence for or against a new version.
 * @module
 */
import { bucketOf, countsOf } from "../rollout/count_call.ts";
import { Side } from "../rollout/messages.ts";
import { ShiftPhase, type TrafficShiftState } from "./state.ts";

/** One run at the endpoint beside this node. */
export interface Run {
  readonly service: string;
  readonly version: string;
  readonly route: string;
  readonly isFailed: boolean;
  /** A call that the run has made failed. */
  readonly isExcused: boolean;
  readonly tookMs: number;
}

/** Counts a run, unless its service's move was taken back. */
export function countRun(state: TrafficShiftState, run: Run) {
  const move = state.shifts.get(run.service);
  if (move === undefined || move.step.phase === ShiftPhase.RolledBack) return;
  // Whoever was called may have failed it: it says nothing of this version.
  if (run.isFailed && run.isExcused) return;
  const side = run.version === move.order.target ? Side.New : Side.Old;
  const counts = countsOf(move.local, side, run.route);
  counts.calls++;
  if (run.isFailed) counts.failures++;
  const bucket = bucketOf(run.tookMs);
  counts.buckets[bucket] = (counts.buckets[bucket] ?? 0) + 1;
}
